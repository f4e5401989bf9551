package config

import (
	"math"
	"time"

	"github.com/valyala/fastjson"
)

func (d *itemDecoder) service(raw []byte) (*Service, error) {
	object, name, err := d.namedObject(raw, "service")
	if err != nil {
		return nil, err
	}
	service := &Service{
		Name: name, HealthPath: object.stringField("health_path", false),
		MaxConns:   int(object.integerField("max_conns", math.MaxInt32)),
		WarmUpTime: object.durationField("cold_s", time.Second, 0),
		WarmUpRate: object.nonNegativeNumber("cold_per_s", 0),
	}
	if e := object.get("engine"); e != nil {
		if e.Type() != fastjson.TypeObject {
			object.fail("engine is no object: send {...}")
			return nil, object.err
		}
		object.value = e
		service.Engine = &Engine{
			Slots:          int(object.integerField("slots", math.MaxInt32)),
			CacheTokens:    object.integerField("cache_tokens", 1<<53),
			TokensPerEvent: int(object.integerField("stride", math.MaxInt32)),
		}
		if m := object.get("models"); m != nil {
			if m.Type() != fastjson.TypeArray {
				object.fail("models is no list: send [...]")
			}
			for _, x := range m.GetArray() {
				if x.Type() != fastjson.TypeObject {
					object.fail("a model is no object: send {...}")
					break
				}
				object.value = x
				service.Engine.Models = append(service.Engine.Models, object.stringField("name", true))
			}
		}
	}
	return service, object.err
}
