// Command compare plays builds of the system on the users' bench, with the same days and seeds
// for each build, several plays at a time. For each deployment it prints the worth of the
// builds, the difference to the first build, and the standard error of that difference.
//
//	go run ./scripts/compare --program BENCH --site SITE.toml --day trouble-1 --seeds 8 \
//	    --why "..." --build base=commit:HEAD~1 --build new=commit:HEAD --out plays.jsonl
//
// Ctrl-C ends it and keeps the finished plays; run again with the same --out it continues.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"
)

// options are the command's flags.
type options struct {
	program string
	sites   []string
	days    []string
	seeds   int
	first   int
	builds  []string
	jobs    int
	cpu     bool
	why     string
	out     string
	work    string
}

func main() {
	var o options
	app := kingpin.New("compare", "Compares builds of the system on the same days and seeds.")
	app.Flag("program", "The bench's program.").Required().ExistingFileVar(&o.program)
	app.Flag("site", "A deployment's file; may be repeated.").Required().ExistingFilesVar(&o.sites)
	app.Flag("day", "A day's name or file; may be repeated.").Required().StringsVar(&o.days)
	app.Flag("seeds", "How many seeds.").Default("8").IntVar(&o.seeds)
	app.Flag("first", "The first seed.").Default("1").IntVar(&o.first)
	app.Flag("build", "NAME=FOLDER or NAME=commit:REVISION; the first is the base.").Required().StringsVar(&o.builds)
	app.Flag("jobs", "Plays at a time, one core each.").Default("5").IntVar(&o.jobs)
	app.Flag("cpu", "Charge processor time.").BoolVar(&o.cpu)
	app.Flag("why", "The reason for the plays, for the bench's journal.").Required().StringVar(&o.why)
	app.Flag("out", "The file for the results, a line for each play; plays that it already has are not repeated.").Required().StringVar(&o.out)
	app.Flag("work", "The folder for check-outs of commits.").Default(filepath.Join(os.TempDir(), "compare")).StringVar(&o.work)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "compare:", err)
		os.Exit(1)
	}
}

// build is one variant of the system and the folder of its sources.
type build struct{ name, folder string }

func run(ctx context.Context, o options) error {
	if len(o.builds) < 2 {
		return fmt.Errorf("give two builds or more with --build")
	}
	var builds []build
	var names []string
	for _, text := range o.builds {
		b, err := prepare(o.work, text)
		if err != nil {
			return err
		}
		builds, names = append(builds, b), append(names, b.name)
	}
	done, err := load(o.out)
	if err != nil {
		return err
	}
	p := &player{o: o, done: done}
	if err := p.playAll(ctx, builds); err != nil {
		return err
	}
	list := Differences(names, p.selected(names))
	writeTable(os.Stdout, list)
	writeRows(os.Stdout, list)
	return nil
}

// prepare parses a --build flag. For a commit it makes a check-out below work, unless there is
// one.
func prepare(work, text string) (build, error) {
	name, where, ok := strings.Cut(text, "=")
	if !ok || name == "" {
		return build{}, fmt.Errorf("--build %q is not NAME=FOLDER or NAME=commit:REVISION", text)
	}
	revision, isCommit := strings.CutPrefix(where, "commit:")
	if !isCommit {
		folder, err := filepath.Abs(where)
		if err == nil {
			_, err = os.Stat(filepath.Join(folder, "deploy"))
		}
		return build{name, folder}, err
	}
	hash, err := exec.Command("git", "rev-parse", "--verify", revision+"^{commit}").Output()
	if err != nil {
		return build{}, fmt.Errorf("no commit %q: %v", revision, err)
	}
	folder := filepath.Join(work, strings.TrimSpace(string(hash)))
	if _, err := os.Stat(folder); err == nil {
		return build{name, folder}, nil
	}
	for _, args := range [][]string{{"clone", "-q", ".", folder}, {"-C", folder, "checkout", "-q", strings.TrimSpace(string(hash))}} {
		if out, err := exec.Command("git", args...).CombinedOutput(); err != nil {
			return build{}, fmt.Errorf("git %s: %s", strings.Join(args, " "), out)
		}
	}
	return build{name, folder}, nil
}

// load reads the results of earlier calls. A missing file has none.
func load(path string) ([]Result, error) {
	f, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []Result
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var r Result
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, fmt.Errorf("%s: %v; remove the line or choose another file", path, err)
		}
		out = append(out, r)
	}
	return out, lines.Err()
}

// player runs the plays that are not done yet.
type player struct {
	o    options
	mu   sync.Mutex
	done []Result
}

// todo lists the missing plays in an order that completes pairs as early as possible.
func (p *player) todo(builds []build) []Play {
	known := make(map[Play]bool)
	for _, r := range p.done {
		known[r.Play] = true
	}
	var out []Play
	for seed := p.o.first; seed < p.o.first+p.o.seeds; seed++ {
		for _, site := range p.o.sites {
			for _, day := range p.o.days {
				for _, b := range builds {
					x := Play{Build: b.name, Site: siteName(site), Day: dayName(day), Seed: seed}
					if !known[x] {
						out = append(out, x)
					}
				}
			}
		}
	}
	return out
}

func siteName(path string) string { return strings.TrimSuffix(filepath.Base(path), ".toml") }
func dayName(day string) string   { return strings.TrimSuffix(filepath.Base(day), ".toml") }

func (p *player) playAll(ctx context.Context, builds []build) error {
	folders, sites, days := make(map[string]string), make(map[string]string), make(map[string]string)
	for _, b := range builds {
		folders[b.name] = b.folder
	}
	for _, s := range p.o.sites {
		sites[siteName(s)] = s
	}
	for _, d := range p.o.days {
		days[dayName(d)] = d
	}
	out, err := os.OpenFile(p.o.out, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	list := p.todo(builds)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(p.o.jobs)
	for i, x := range list {
		g.Go(func() error {
			if ctx.Err() != nil {
				return nil
			}
			r, err := p.play(ctx, x, folders[x.Build], sites[x.Site], days[x.Day])
			if ctx.Err() != nil {
				return nil // interrupted; the finished plays are kept
			}
			if err != nil {
				return fmt.Errorf("%s on %s, %s, seed %d: %w", x.Build, x.Site, x.Day, x.Seed, err)
			}
			fmt.Fprintf(os.Stderr, "%d of %d: %s %s %s seed %d: %.3f\n", i+1, len(list), x.Build, x.Site, x.Day, x.Seed, r.Worth)
			return p.save(out, r)
		})
	}
	return g.Wait()
}

// save records a finished play in memory and in the output file.
func (p *player) save(out *os.File, r Result) error {
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.done = append(p.done, r)
	_, err = out.Write(append(line, '\n'))
	return err
}

// selected returns the finished plays of these builds on the configured sites, days and seeds.
func (p *player) selected(names []string) (out []Result) {
	asked := make(map[Play]bool)
	q := &player{o: p.o}
	var builds []build
	for _, n := range names {
		builds = append(builds, build{name: n})
	}
	for _, x := range q.todo(builds) {
		asked[x] = true
	}
	for _, r := range p.done {
		if asked[r.Play] {
			out = append(out, r)
		}
	}
	return out
}

func (p *player) play(ctx context.Context, x Play, folder, site, day string) (Result, error) {
	report, err := os.CreateTemp("", "compare-*.json")
	if err != nil {
		return Result{}, err
	}
	report.Close()
	defer os.Remove(report.Name())
	site, err = filepath.Abs(site)
	if err != nil {
		return Result{}, err
	}
	args := []string{"run", site, day, "--seed", fmt.Sprint(x.Seed), "--jobs", "1", "--report", report.Name(), "--why", p.o.why}
	if !p.o.cpu {
		args = append(args, "--no-cpu")
	}
	cmd := exec.CommandContext(ctx, p.o.program, args...)
	cmd.Dir = folder
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	output, err := cmd.CombinedOutput()
	if err != nil && ctx.Err() == nil {
		if _, is := err.(*exec.ExitError); !is { // a violated rule is in the report
			return Result{}, err
		}
	}
	text, err := os.ReadFile(report.Name())
	if err != nil || len(text) == 0 {
		return Result{}, fmt.Errorf("the bench wrote no report; its output ends with: %s", tail(output))
	}
	return decode(x, text)
}

// tail returns the end of a program's output.
func tail(output []byte) string {
	const most = 400
	return string(output[max(0, len(output)-most):])
}

// decode reads the bench's report of one play.
func decode(x Play, text []byte) (Result, error) {
	var b struct {
		Worth   float64             `json:"G"`
		Served  float64             `json:"served"`
		Fault   any                 `json:"fault"`
		Breaks  map[string]any      `json:"breaks"`
		Parts   [][]json.RawMessage `json:"parts"`
		Classes []struct {
			Name  string  `json:"name"`
			Worth float64 `json:"worth"`
			Asked int     `json:"n"`
		} `json:"classes"`
	}
	if err := json.Unmarshal(text, &b); err != nil {
		return Result{}, fmt.Errorf("the report can't be read: %v", err)
	}
	r := Result{Play: x, Worth: b.Worth, Served: b.Served, Classes: make(map[string]float64), Asked: make(map[string]int)}
	for _, c := range b.Classes {
		r.Classes[c.Name], r.Asked[c.Name] = c.Worth, c.Asked
	}
	for name := range b.Breaks {
		r.Broken = append(r.Broken, name)
	}
	if b.Fault != nil {
		r.Broken = append(r.Broken, fmt.Sprint("fault: ", b.Fault))
	}
	for _, part := range b.Parts {
		var name string
		if len(part) == 3 && json.Unmarshal(part[0], &name) == nil && name == "worst windows" {
			if err := json.Unmarshal(part[2], &r.Windows); err != nil {
				return Result{}, fmt.Errorf("the report's worst windows can't be read: %v", err)
			}
		}
	}
	return r, nil
}
