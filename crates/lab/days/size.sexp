; The size that is coming, on a calm day: 330 starts a second, 4,300 tasks running, 1,300 nodes in 7 zones of 2 halls. 4 of the
; 100 dispatchers are processes of their own, the others hollow. What it needs of the machine: docs/days.md.
(day
  (length 40 s) (dispatchers 100) (hollow (many 96) (a-process 24)) (nodes 1300) (zones 7) (rate 330) (life 13 s))
