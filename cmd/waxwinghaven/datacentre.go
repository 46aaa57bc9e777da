package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/waxwinghaven/waxwinghaven/control"
	"github.com/waxwinghaven/waxwinghaven/datacentre"
	"github.com/waxwinghaven/waxwinghaven/operator"
	"github.com/waxwinghaven/waxwinghaven/refusal"
)

// dataCentreCommands adds the commands that take data centres out of service and back.
func (c *cli) dataCentreCommands() {
	top := c.app.Command("data-centre", "Lists data centres, takes them out of service and brings them back.")
	top.Command("list", "Lists data centres with the work that is still in each.").Action(func(*kingpin.ParseContext) error { return c.listDataCentres() })
	c.dataCentreOrder(top, "cordon", datacentre.Cordoned, "Starts nothing new in a data centre. What runs there continues until it ends.")
	c.dataCentreOrder(top, "drain", datacentre.Draining, "Cordons a data centre and moves standing tasks elsewhere, as room and callers allow.\n\nExample: waxwinghaven data-centre drain hall-a --wait 10m")
	c.dataCentreOrder(top, "uncordon", datacentre.InService, "Brings a data centre back into service.")
}

func (c *cli) dataCentreOrder(top *kingpin.CmdClause, verb string, phase datacentre.Phase, help string) {
	cmd := top.Command(verb, help)
	name := cmd.Arg("name", "The data centre's name, as the list has it.").Required().String()
	id := cmd.Flag("id", "The order's id; an order sent again under the same id takes effect only once.").Default(operator.NewID()).String()
	wait := new(time.Duration)
	if phase != datacentre.InService {
		wait = cmd.Flag("wait", "Wait until nothing runs there any more, at most this long.").Default("0s").Duration()
	}
	cmd.Action(func(*kingpin.ParseContext) error {
		return c.orderDataCentre(control.DataCentreRequest{ID: *id, Name: *name, Phase: phase.String()}, *wait)
	})
}

func (c *cli) orderDataCentre(o control.DataCentreRequest, wait time.Duration) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	// The order is based on the present revision: if another operator's order is accepted
	// first, this one is refused.
	now, err := findDataCentre(client, o.Name)
	if err != nil {
		return err
	}
	o.Base = now.Revision
	a, err := client.OrderDataCentre(o)
	if err != nil {
		return err
	}
	if err := c.show(a, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "%s is %s since revision %d\n", o.Name, o.Phase, a.Revision)
	}); err != nil || wait == 0 {
		return err
	}
	return awaitEmpty(client, o.Name, wait)
}

func findDataCentre(client *operator.Client, name string) (control.DataCentreView, error) {
	list, err := client.DataCentres()
	if err != nil {
		return control.DataCentreView{}, err
	}
	for _, x := range list {
		if x.Name == name {
			return x, nil
		}
	}
	return control.DataCentreView{}, refusal.New(refusal.Invalid, "see `waxwinghaven data-centre list` for the names", "no data centre %q is known", name)
}

// emptyPoll is the interval at which awaitEmpty asks.
const emptyPoll = 500 * time.Millisecond

func awaitEmpty(client *operator.Client, name string, wait time.Duration) error {
	deadline := time.Now().Add(wait)
	for {
		x, err := findDataCentre(client, name)
		if err != nil {
			return err
		}
		if x.Empty {
			return nil
		}
		if time.Now().After(deadline) {
			return refusal.New(refusal.DeadlinePassed, "see `waxwinghaven workers` and `task list`; what can be nowhere else stays until it ends",
				"%d runs (%d of them standing) and %d tasks are still in %s after %v", x.Runs, x.Standing, x.Tasks, name, wait)
		}
		time.Sleep(emptyPoll)
	}
}

func (c *cli) listDataCentres() error {
	client, err := c.client()
	if err != nil {
		return err
	}
	list, err := client.DataCentres()
	if err != nil {
		return err
	}
	return c.show(list, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "DATA CENTRE\tPHASE\tSINCE\tORDER\tWORKERS\tRUNS\tSTANDING\tTASKS\tEMPTY")
		for _, x := range list {
			since := "-"
			if x.SinceMS > 0 {
				since = time.UnixMilli(x.SinceMS).Format(time.DateTime)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%v\n", x.Name, x.Phase, since, x.Order, x.Workers, x.Runs, x.Standing, x.Tasks, x.Empty)
		}
	})
}
