package config

import "time"

func (d *itemDecoder) limits(raw []byte) (Limits, error) {
	object, err := d.object(raw, "limits")
	if err != nil {
		return Limits{}, err
	}
	limits := Limits{
		HeaderBytes: object.integerField("max_header_bytes", 1<<40), BodyBytes: object.integerField("max_body_bytes", 1<<40),
		HeaderTimeout: object.durationField("header_timeout_ms", time.Millisecond, 0),
		IdleTimeout:   object.durationField("idle_timeout_ms", time.Millisecond, 0),
	}
	if limits.HeaderBytes == 0 {
		limits.HeaderBytes = defaultLimits.HeaderBytes
	}
	if limits.BodyBytes == 0 {
		limits.BodyBytes = defaultLimits.BodyBytes
	}
	if limits.HeaderTimeout == 0 {
		limits.HeaderTimeout = defaultLimits.HeaderTimeout
	}
	if limits.IdleTimeout == 0 {
		limits.IdleTimeout = defaultLimits.IdleTimeout
	}
	return limits, object.err
}
