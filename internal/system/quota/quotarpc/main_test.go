package quotarpc

import (
	"testing"

	"gradeusher.example/gradeusher/internal/system/invariant/invarianttest"
)

func TestMain(m *testing.M) { invarianttest.Main(m, nil) }
