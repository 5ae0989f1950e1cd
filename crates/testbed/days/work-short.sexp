; The same for CI: eight dispatchers and 24 nodes, with links cut, dispatchers killed and standing still.
(day
  (length 14 s) (dispatchers 8) (nodes 24) (rate 40) (deduplicated 12) (unrepeatable 6) (life 1 s)
  (maintenance (at 1 s) (at-a-time 6) (by-hall 4) (takes 300 ms))
  (troubles
    (cut-dispatchers (at 3 s) (for 3 s) (many 2) (from keepers nodes) (way in))
    (cut-dispatchers (at 7 s) (for 2 s) (many 2) (from keepers))
    (kill-dispatchers (at 5 s) (for 1 s) (many 2))
    (pause-dispatchers (at 9 s) (for 1 s) (many 2))))
