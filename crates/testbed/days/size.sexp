; The size that is coming, on a calm day: 330 starts a second, 4,300 tasks running, 1,300 nodes in 7 zones of 2 halls. 20
; dispatchers, as four on each of the five machines set aside: 4 are processes of their own, the others hollow, four to a
; process. What it needs of the machine: docs/days.md.
(day
  (length 40 s) (dispatchers 20) (hollow (many 16) (a-process 4)) (nodes 1300) (zones 7) (rate 330) (life 13 s))
