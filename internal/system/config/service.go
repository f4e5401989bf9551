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
		Name:                    name,
		HealthPath:              object.stringField("health_path", false),
		MaxConns:                int(object.integerField("max_conns", math.MaxInt32)),
		WarmUpTime:              object.durationField("cold_s", time.Second, 0),
		WarmUpRequestsPerSecond: object.nonNegativeNumber("cold_per_s", 0),
	}
	service.Engine = object.readEngine()
	if object.err != nil {
		return nil, object.err
	}
	return service, nil
}

// readEngine reads the engine, or returns nil if there is none.
func (r *objectReader) readEngine() *Engine {
	value := r.get("engine")
	if value == nil {
		return nil
	}
	if value.Type() != fastjson.TypeObject {
		r.fail("engine is no object: send {...}")
		return nil
	}
	r.value = value
	return &Engine{
		Slots:          int(r.integerField("slots", math.MaxInt32)),
		CacheTokens:    r.integerField("cache_tokens", maxExactInteger),
		TokensPerEvent: int(r.integerField("stride", math.MaxInt32)),
		Models:         r.readModels(),
	}
}

// readModels reads the names of the models.
func (r *objectReader) readModels() []string {
	list := r.get("models")
	if list == nil {
		return nil
	}
	if list.Type() != fastjson.TypeArray {
		r.fail("models is no list: send [...]")
	}
	var names []string
	for _, model := range list.GetArray() {
		if model.Type() != fastjson.TypeObject {
			r.fail("a model is no object: send {...}")
			break
		}
		r.value = model
		names = append(names, r.stringField("name", true))
	}
	return names
}
