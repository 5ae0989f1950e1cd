; Minimum version at full size: 300 dispatchers and 140 nodes. A third of the dispatchers receive no
; newer version, and half of these do not reach the quorum members either. The minimum version is
; raised, and the fleet is audited at the end.
(day
  (length 40 s) (dispatchers 300) (nodes 140) (rate 150) (life 3 s)
  (versions (every 6 s)) (floor (at 20 s)) (audit #t)
  (troubles
    (hold-versions (at 8 s) (for 32 s) (many 50))
    (cut-dispatchers (at 8 s) (for 32 s) (many 50) (from keepers control))))
