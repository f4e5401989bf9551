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
func (it *objectReader) readEngine() *Engine {
	value := it.get("engine")
	if value == nil {
		return nil
	}
	if value.Type() != fastjson.TypeObject {
		it.fail("engine is no object: send {...}")
		return nil
	}
	it.value = value
	return &Engine{
		Slots:          int(it.integerField("slots", math.MaxInt32)),
		CacheTokens:    it.integerField("cache_tokens", maxExactInteger),
		TokensPerEvent: int(it.integerField("stride", math.MaxInt32)),
		Models:         it.readModels(),
	}
}

// readModels reads the names of the models.
func (it *objectReader) readModels() []string {
	list := it.get("models")
	if list == nil {
		return nil
	}
	if list.Type() != fastjson.TypeArray {
		it.fail("models is no list: send [...]")
	}
	var names []string
	for _, model := range list.GetArray() {
		if model.Type() != fastjson.TypeObject {
			it.fail("a model is no object: send {...}")
			break
		}
		it.value = model
		names = append(names, it.stringField("name", true))
	}
	return names
}
