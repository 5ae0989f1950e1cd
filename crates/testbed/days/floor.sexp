; The floor of versions at full size: 300 dispatchers before 140 nodes, a third of which hear of no newer version; half of
; these hear of no keepers either. The floor is raised, and the fleet audited at the end.
(day
  (length 40 s) (dispatchers 300) (nodes 140) (rate 150) (life 3 s)
  (versions (every 6 s)) (floor (at 20 s)) (audit #t)
  (troubles
    (hold-versions (at 8 s) (for 32 s) (many 50))
    (cut-dispatchers (at 8 s) (for 32 s) (many 50) (from keepers control))))
