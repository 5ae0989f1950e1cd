; Dispatchers that are cut off, held up and cut one way while versions come, with full disks, kills and pauses beside:
; what the fleet's parts do to each other when some of them hear nothing.
(day
  (length 20 s) (dispatchers 8) (nodes 12) (rate 40) (deduplicated 12) (unrepeatable 6) (life 3 s)
  (versions (every 3 s))
  (troubles
    (cut-dispatchers (at 2 s) (for 4 s) (many 2) (from keepers control roster nodes dispatchers))
    (cut-dispatchers (at 7 s) (for 3 s) (many 2) (from nodes keepers) (way in))
    (delay-dispatchers (at 5 s) (for 4 s) (many 2) (by 400 ms) (from nodes roster))
    (hold-versions (at 4 s) (for 8 s) (many 3))
    (full-disk (at 9 s) (for 3 s) (many 2))
    (kill-dispatchers (at 10 s) (for 1 s) (many 2))
    (pause-dispatchers (at 13 s) (for 2 s) (many 2))
    (cut-dispatchers (at 15 s) (for 3 s) (many 3) (from dispatchers control) (way out))))
