package quotarpc

import (
	"gradeusher.example/gradeusher/internal/system/quota"
	"gradeusher.example/gradeusher/internal/system/settings"
)

// BoundsOf returns the quota bounds of a deployment's settings.
func BoundsOf(bounds settings.Bounds) quota.Bounds {
	return quota.Bounds{
		Window: settings.Seconds(bounds.QuotaWindowSeconds),
		Excess: bounds.QuotaExcess,
		Slack:  bounds.QuotaSlack,
	}
}
