; The keywords of `hollow`, and else only what a day can't do without.
(day
  (length 2 min)
  (dispatchers 8)
  (hollow (many 7) (a-process 3))
  (nodes 1)
  (rate 0.5))
