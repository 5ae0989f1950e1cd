; As many dispatchers as the largest of the public exercises has, with 140 nodes, on one host. A
; third of the dispatchers are killed and restarted, and a rack restarts cold. Machine requirements:
; docs/measurements.md.
(day
  (length 20 s) (dispatchers 300) (nodes 140) (rate 250) (life 3 s)
  (troubles
    (kill-dispatchers (at 8 s) (for 2 s) (many 100))
    (restart-rack (at 12 s) (for 1 s))))
