; The planned cluster size without faults: 330 starts a second, 4,300 running tasks, 1,300 nodes in
; 7 failure domains of 2 zones. 20 dispatchers, as if four ran on each of the five machines reserved
; for them: 4 are processes of their own, the others are hollow, four to a process. Machine
; requirements: docs/days.md.
(day
  (length 40 s) (dispatchers 20) (hollow (many 16) (a-process 4)) (nodes 1300) (zones 7) (rate 330) (life 13 s))
