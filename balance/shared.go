package balance

// position is a position among some sidecars: at of of, from 0; of is 0 where it is not known.
type position struct{ index, count int }
