package config

import (
	"cmp"
	"time"
)

func (d *itemDecoder) limits(raw []byte) (Limits, error) {
	object, err := d.object(raw, "limits")
	if err != nil {
		return Limits{}, err
	}
	limits := Limits{
		MaxHeaderBytes: cmp.Or(object.integerField("max_header_bytes", 1<<40), defaultLimits.MaxHeaderBytes),
		MaxBodyBytes:   cmp.Or(object.integerField("max_body_bytes", 1<<40), defaultLimits.MaxBodyBytes),
		HeaderTimeout:  cmp.Or(object.durationField("header_timeout_ms", time.Millisecond, 0), defaultLimits.HeaderTimeout),
		IdleTimeout:    cmp.Or(object.durationField("idle_timeout_ms", time.Millisecond, 0), defaultLimits.IdleTimeout),
	}
	return limits, object.err
}
