; As many dispatchers as the largest of the public exercises has, before as many nodes, on one host; a third of the
; dispatchers are killed and come back, and a rack restarts cold. What it needs of the machine: docs/measurements.md.
(day
  (length 20 s) (dispatchers 300) (nodes 140) (rate 250) (life 3 s)
  (troubles
    (kill-dispatchers (at 8 s) (for 2 s) (many 100))
    (restart-rack (at 12 s) (for 1 s))))
