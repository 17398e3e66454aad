package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminfall.example/fleet/catalog"
	"cuminfall.example/fleet/fault"
	"cuminfall.example/fleet/ident"
	"cuminfall.example/fleet/protocol"
	"cuminfall.example/fleet/registry"
)

// routeChange returns a patch with a service and routes, given as their names, hosts and prefixes.
func routeChange(base, version catalog.Version, digest string, routes ...[3]string) *catalog.Change {
	ch := &catalog.Change{Digest: digest, Base: base, Version: version, Items: catalog.Items{Routes: map[string]catalog.Route{},
		Services: map[ident.Service]catalog.Service{"s": {Name: "s"}}}}
	for _, r := range routes {
		ch.Routes[r[0]] = catalog.Route{Name: r[0], Host: r[1], Prefix: r[2], Splits: []catalog.Split{{Service: "s", Weight: 1}}, Source: []byte(fmt.Sprintf("%q", digest))}
	}
	return ch
}

// accept sends a change to members until it is accepted.
func accept(t *testing.T, ch *catalog.Change, members ...*member) {
	t.Helper()
	i := 0
	eventually(t, "a change is accepted", func() bool {
		m := members[i%len(members)]
		i++
		result, err := m.Change(context.Background(), ch, nil)
		if err == nil && result.Code != "" {
			t.Fatalf("the change was refused: %s", result.Reason)
		}
		return err == nil
	})
}

// acceptAsEarlierBuild replicates a change without a review, as the leader of a group of an earlier build does.
func acceptAsEarlierBuild(t *testing.T, ch *catalog.Change, members []*member) {
	t.Helper()
	eventually(t, "a change of an earlier build is accepted", func() bool {
		for _, m := range members {
			if _, _, leads := m.opts.Replica.Leadership(); leads {
				result, err := m.opts.Replica.Propose(context.Background(), registry.Command{Change: ch}.Encode())
				return err == nil && result == registry.Result{}
			}
		}
		return false
	})
}

// refuse sends a change to a member until it gives a final answer, which must be a refusal with a code.
func refuse(t *testing.T, m *member, ch *catalog.Change, objection error, code fault.Code, places ...string) {
	t.Helper()
	var result registry.Result
	eventually(t, "a change is answered", func() (answered bool) {
		var err error
		result, err = m.Change(context.Background(), ch, objection)
		return err == nil
	})
	if result.Code != code {
		t.Fatalf("the result is %v, expected %q", result, code)
	}
	for _, place := range places {
		if !strings.Contains(result.Reason, place) {
			t.Errorf("the reason is %q, expected %q in it", result.Reason, place)
		}
	}
}

// sharedPlaces returns the routes of a catalog that only spelling tells apart from others.
func sharedPlaces(c *catalog.Catalog) error {
	return c.CheckChange(&catalog.Change{Full: true, Items: c.Items})
}

// Guards against a change that is not reviewed because the one that it builds on is still being replicated, or because the
// leadership changes between the two.
func TestChangeOnOneUnderWayIsReviewed(t *testing.T) {
	members := startGroup(t)
	accept(t, catalogChange(0, 1, "first"), members...)
	version, accepted := catalog.Version(1), 0
	for i := range 40 {
		if i%10 == 9 { // another member leads from now on
			for _, m := range members {
				if _, _, leads := m.opts.Replica.Leadership(); leads {
					_ = m.opts.Replica.Handover(context.Background())
				}
			}
		}
		lower, upper := fmt.Sprintf("h%d.example", i), fmt.Sprintf("H%d.example:80", i)
		first := routeChange(version, version+1, fmt.Sprint("first", i), [3]string{lower, lower, "/"})
		second := routeChange(version+1, version+2, fmt.Sprint("second", i), [3]string{upper, upper, "/"})
		var wg sync.WaitGroup
		for n, ch := range []*catalog.Change{first, second} {
			for copies := range 2 { // an operator that repeats its order at another member
				wg.Go(func() {
					time.Sleep(time.Duration(i%5*n) * time.Millisecond)
					result, err := members[(i+n+copies)%len(members)].Change(context.Background(), ch, nil)
					if n == 1 && err == nil && result.Code == "" {
						t.Errorf("round %d: routes %q and %q were accepted", i, lower, upper)
					}
				})
			}
		}
		wg.Wait()
		accept(t, first, members...)
		accepted++
		version++
		refuse(t, members[i%len(members)], second, nil, fault.Invalid, lower, upper)
	}
	c, err := members[0].Catalog(context.Background())
	is.New(t).NoErr(err)
	is.New(t).NoErr(sharedPlaces(c))
	is.New(t).Equal(len(c.Routes), accepted)
}

// Guards against a catalog that an earlier build accepted and that can no longer be read, corrected or repeated, and against
// one that such a build may still extend.
func TestCatalogOfEarlierBuildStands(t *testing.T) {
	is := is.New(t)
	members := startGroup(t)
	ctx := context.Background()
	accept(t, catalogChange(0, 1, "first"), members...)
	old := routeChange(1, 2, "old", [3]string{"a", "h", "/"}, [3]string{"b", "H", "/"}, [3]string{"c", "i.", "/"}, [3]string{"d", "I", "/"})
	acceptAsEarlierBuild(t, old, members)
	ambiguous := fault.New(fault.Invalid, "decode", "", "member %q is there twice", "host")
	for _, m := range members {
		eventually(t, "the catalog is read back", func() bool {
			c, err := m.Catalog(ctx)
			return err == nil && c.Version == 2 && len(c.Routes) == 4
		})
		for _, objection := range []error{nil, ambiguous} { // a repeat is acknowledged again
			eventually(t, "the change is acknowledged again", func() bool {
				result, err := m.Change(ctx, old, objection)
				return err == nil && result == registry.Result{}
			})
		}
		refuse(t, m, routeChange(2, 3, "objection", [3]string{"e", "e", "/"}), ambiguous, fault.Invalid, `"host" is there twice`)
		refuse(t, m, routeChange(2, 3, "more", [3]string{"e", "H.", "/"}), nil, fault.Invalid, `"e"`, `"a"`)
		full := routeChange(2, 3, "whole", [3]string{"a", "h", "/"}, [3]string{"b", "H", "/"})
		full.Full = true
		refuse(t, m, full, nil, fault.Invalid, `"a"`, `"b"`)
	}
	accept(t, routeChange(2, 3, "beside", [3]string{"e", "e", "/"}), members...)
	removal := routeChange(3, 4, "removal")
	removal.Remove.Routes = []string{"b"}
	accept(t, removal, members...)
	accept(t, routeChange(4, 5, "correction", [3]string{"d", "j", "/"}), members...)
	c, err := members[3].Catalog(ctx)
	is.NoErr(err)
	is.NoErr(sharedPlaces(c))
	is.Equal(len(c.Routes), 4)

	// A member of an earlier build passes a change on as it got it.
	command := registry.Command{Change: routeChange(5, 6, "passed on", [3]string{"f", "J", "/"})}.Encode()
	var reply protocol.ProposeReply
	eventually(t, "the leader answers", func() bool {
		leader := members[0].opts.Replica.Status().Leader
		return leader != "" && members[0].client.Call(ctx, leader, protocol.ProposePath, json.RawMessage(command), &reply) == nil
	})
	is.Equal(reply.Result.Code, fault.Invalid)
}

// Guards against a change that a member of this build passes on to a leader of an earlier one, which accepts it.
func TestMemberReviewsWhatItPassesOn(t *testing.T) {
	is := is.New(t)
	members := startGroup(t)
	accept(t, catalogChange(0, 1, "first"), members...)
	accept(t, routeChange(1, 2, "second", [3]string{"a", "h", "/"}), members...)
	for _, m := range members {
		var assessed registry.Result
		eventually(t, "the member reviews a change", func() bool {
			result, final, err := m.reviewChange(context.Background(), routeChange(2, 3, "third", [3]string{"b", "H.", "/"}), nil)
			assessed = result
			return err == nil && final
		})
		is.Equal(assessed.Code, fault.Invalid)
	}
}

// Guards against a change that is refused while a copy of it, which a leader of an earlier build took into its log, is not committed
// yet, and that is in force later.
func TestRefusalWaitsForCopyUnderWay(t *testing.T) {
	is := is.New(t)
	members, disks := startStallableGroup(t)
	accept(t, catalogChange(0, 1, "first"), members...)
	accept(t, routeChange(1, 2, "second", [3]string{"a", "h", "/"}), members...)
	leader, _ := currentLeader(t, members)
	resume := stallDisks(disks)
	defer resume()
	copies := []*catalog.Change{routeChange(2, 3, "ambiguous", [3]string{"b", "H", "/"}), routeChange(3, 4, "on top", [3]string{"c", "H.", "/"})}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	outcomes := make(chan any, len(copies))
	for _, ch := range copies {
		go func() {
			result, err := leader.opts.Replica.Propose(ctx, registry.Command{Change: ch}.Encode())
			outcomes <- []any{result, err}
		}()
		time.Sleep(100 * time.Millisecond) // in this order
	}
	var wg sync.WaitGroup
	for _, m := range members {
		for _, ch := range copies {
			wg.Go(func() {
				if result, err := m.Change(ctx, ch, nil); err == nil && result.Code != "" {
					t.Errorf("change %s was refused: %s", ch.Digest, result.Reason)
				}
			})
		}
	}
	wg.Wait()
	resume()
	for _, ch := range copies {
		for _, m := range members {
			eventually(t, "the change is acknowledged again", func() bool {
				result, err := m.Change(ctx, ch, nil)
				return err == nil && result == registry.Result{}
			})
		}
		is.Equal(<-outcomes, []any{registry.Result{}, nil})
	}
}
