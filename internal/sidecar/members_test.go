package sidecar

import (
	"strings"
	"testing"
)

func TestMembersConfig(t *testing.T) {
	good := configText("127.0.0.1:9", "", testSettings)
	for _, test := range []struct{ how, env, wrong string }{
		{`{"listen":"127.0.0.1:0"}`, "PROXY_MEMBERS=127.0.0.1:8,127.0.0.1:7", ""},
		{`{"listen":"127.0.0.1:0","join":["127.0.0.1:8"],"reach":"127.0.0.1","bound_s":1.5,"later":1}`, "", ""},
		{`null`, "", ""},
		{`null`, "PROXY_MEMBERS=127.0.0.1:8", "listen"},
		{`{}`, "", "listen"},
		{`{"listen":"127.0.0.1:0","join":["there"]}`, "", "join"},
		{`{"listen":"127.0.0.1:0","reach":"there"}`, "", "reach"},
		{`{"listen":"127.0.0.1:0","bound_s":0}`, "", "bound_s"},
	} {
		c, err := load(t, strings.Replace(good, `"settings":`, `"members":`+test.how+`,"settings":`, 1), test.env)
		switch {
		case test.wrong == "" && (err != nil || (c.Members != nil) != (test.how != "null")):
			t.Errorf("%s: %v", test.how, err)
		case test.wrong != "" && (err == nil || !strings.Contains(err.Error(), "members: ") || !strings.Contains(err.Error(), test.wrong)):
			t.Errorf("%s: %v, want one that names %s", test.how, err, test.wrong)
		}
	}
}
