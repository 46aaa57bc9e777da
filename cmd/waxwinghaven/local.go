package main

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/waxwinghaven/waxwinghaven/dev"
	"github.com/waxwinghaven/waxwinghaven/refusal"
	"github.com/waxwinghaven/waxwinghaven/settings"
	"github.com/waxwinghaven/waxwinghaven/transport"
)

// localCommands adds the commands that need no running system.
func (c *cli) localCommands() {
	check := c.app.Command("check", "Checks settings files.\n\nExample: waxwinghaven check /etc/waxwinghaven/*.toml")
	files := check.Arg("file", "Settings files.").Required().Strings()
	check.Action(func(*kingpin.ParseContext) error { return checkFiles(*files) })

	keys := c.app.Command("keys", "Makes the keys for the links between processes.")
	authority := keys.Command("authority", "Makes a certificate authority: ca.pem for all processes, and ca.key, which must be kept secret.")
	dir := authority.Arg("folder", "Where to write it.").Required().String()
	authority.Action(func(*kingpin.ParseContext) error { return transport.MakeAuthority(*dir) })

	mk := keys.Command("make", "Makes one process's key.\n\nExample: waxwinghaven keys make keys entry-1 --role entry")
	keyDir, name := mk.Arg("folder", "The authority's folder.").Required().String(), mk.Arg("name", "The process's name.").Required().String()
	roles := mk.Flag("role", "The role that the key is valid for; may be repeated.").Required().Enums("control", "entry", "agent", "operator")
	mk.Action(func(*kingpin.ParseContext) error { return transport.MakeKey(*keyDir, *name, toRoles(*roles)) })

	devCmd := c.app.Command("dev", "Runs control, entry, agent and a stand-in upstream in this process.\n\nExample: waxwinghaven dev")
	o := dev.Options{}
	devCmd.Flag("ip", "The loopback address to bind.").Default("127.0.0.1").StringVar(&o.IP)
	devCmd.Flag("port", "The base port; the eight ports after it are used.").Default("7100").IntVar(&o.Port)
	devCmd.Flag("data", "The data folder; by default a temporary one.").StringVar(&o.Folder)
	devCmd.Flag("try", "Send requests, tasks and a job, print their outcome, and exit.").BoolVar(&o.Try)
	devCmd.Action(func(*kingpin.ParseContext) error { return dev.Run(o) })
}

func toRoles(names []string) []transport.Role {
	out := make([]transport.Role, len(names))
	for i, n := range names {
		out[i] = transport.Role(n)
	}
	return out
}

func checkFiles(files []string) error {
	bad := 0
	for _, f := range files {
		if _, err := settings.Load(f); err != nil {
			fmt.Println(err)
			bad++
			continue
		}
		fmt.Printf("%s: good\n", f)
	}
	if bad > 0 {
		return refusal.New(refusal.Invalid, "correct them", "%d of %d settings files were refused", bad, len(files))
	}
	return nil
}
