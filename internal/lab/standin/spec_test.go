package standin

import (
	"time"

	"gradeusher.example/gradeusher/internal/lab/model"
)

func testSpec() model.Spec {
	return model.Spec{UID: "s1", Cores: 3, Speed: 1, Slots: 3, Queue: 10, ThrashAt: 100, ColdFrom: 0.2, ColdFor: 10 * time.Second, FallMultiple: 3,
		FallFor: 1500 * time.Millisecond}
}
