package members

// TestingKnobs put faults into a member, so that tests and benchmarks can show what a fleet does on a bad network. They are zero
// outside tests.
type TestingKnobs struct {
	// DropPacket is asked for each UDP packet that the member sends. If it returns true, the packet is counted as sent and is lost.
	// Calls may be concurrent. Nil: no packet is lost.
	DropPacket func() bool
}
