package state

import (
	"slices"
	"time"

	"gradeusher.example/gradeusher/internal/sidecar/list"
)

// apply applies an operation on singleton roles.
func (t *roleTable) apply(op Op, call RoleCall) Result {
	switch op {
	case StartLeaseTerm:
		t.leaseTerm++
		return Result{Revision: t.leaseTerm}
	case EndRoleLeases:
		t.endLeases(call)
		return Result{RolesChanged: true}
	}
	if err := list.CheckUID(call.Name); err != nil {
		return Result{Err: refuse(Invalid, "name of a duty: %v", err)}
	}
	before := t.revision
	var result Result
	result.Err = t.applyToRole(op, call)
	result.RolesChanged = t.revision != before
	if role := t.byName[call.Name]; role != nil {
		copied := role.clone()
		result.Role = &copied
	}
	return result
}

func (t *roleTable) applyToRole(op Op, call RoleCall) *Error {
	if op != Move { // which an operator calls, not a process
		if err := CheckProcess(call.Process); err != nil {
			return refuse(Invalid, "who: %v", err)
		}
	}
	role := t.byName[call.Name]
	switch {
	case op == Campaign:
		return t.campaign(role, call)
	case role == nil:
		return refuse(NotFound, "no duty %q", call.Name)
	case op == Withdraw:
		return t.withdraw(role, call.Process)
	case op == Move:
		return t.move(role, call)
	default:
		return t.applyByOwner(role, op, call)
	}
}

// campaign makes a process a candidate for a role, which is nil where it does not exist yet. A repeated campaign changes nothing: the
// answer to the first may have been lost.
func (t *roleTable) campaign(role *Role, call RoleCall) *Error {
	if err := checkCampaign(call); err != nil {
		return err
	}
	candidate := Candidate{Process: call.Process, Location: call.Location, Load: call.Load, TTLMS: call.TTLMS}
	if role == nil {
		if len(t.byName) >= MaxRoles {
			return refuse(LimitReached, "there are %d duties, %d at most", len(t.byName), MaxRoles)
		}
		role = &Role{Name: call.Name, Location: call.RoleLocation, Epoch: t.forgottenEpoch, SinceMS: call.NowMS}
		t.byName[call.Name] = role
	} else {
		if role.IsOwner(call.Process) {
			return nil
		}
		if i := role.WaitingIndex(call.Process); i >= 0 {
			t.updateCandidate(role, i, candidate)
			return nil
		}
		if len(role.Waiting) >= MaxCandidatesPerRole || t.waiting >= MaxCandidates {
			return refuse(LimitReached, "%d wait for %s, and %d in all: %d and %d at most", len(role.Waiting), role.Name, t.waiting,
				MaxCandidatesPerRole, MaxCandidates)
		}
	}
	t.edit(role, func() { role.Waiting = append(role.Waiting, candidate) })
	if role.Owner == nil {
		t.grant(role, grantOptions{nowMS: call.NowMS})
	} else {
		t.rebalance(role, candidate, call.NowMS)
	}
	return nil
}

func checkCampaign(call RoleCall) *Error {
	lease, maxLeaseMS := time.Duration(call.TTLMS)*time.Millisecond, MaxRoleLease.Milliseconds()
	switch {
	case call.TTLMS > maxLeaseMS || call.TTLMS < 0:
		return refuse(Invalid, "a lease of %d ms is too long: %d at most", call.TTLMS, maxLeaseMS)
	case lease < MinRoleLease:
		return refuse(Invalid, "a lease of %d ms is too short for the margin of %d ms that drift of clocks needs: %d at least", call.TTLMS,
			RoleLeaseMargin(lease).Milliseconds(), MinRoleLease.Milliseconds())
	case len(call.Location) > list.MaxNameBytes || len(call.RoleLocation) > list.MaxNameBytes:
		return refuse(Invalid, "a room has %d bytes at most", list.MaxNameBytes)
	case call.Load < 0 || call.Load > maxLoad:
		return refuse(Invalid, "a load of %d is not within 0 to %d", call.Load, maxLoad)
	}
	return nil
}

func (t *roleTable) updateCandidate(role *Role, i int, candidate Candidate) {
	if role.Waiting[i] != candidate {
		t.edit(role, func() { role.Waiting[i] = candidate })
	}
}

// withdraw takes a candidate out. Where the owner was asked to hand over to it, the owner keeps the role.
func (t *roleTable) withdraw(role *Role, process string) *Error {
	i := role.WaitingIndex(process)
	if i < 0 {
		return refuse(Conflict, "%s does not wait for %s", process, role.Name)
	}
	t.edit(role, func() {
		role.Waiting = slices.Delete(role.Waiting, i, i+1)
		if role.Successor == process {
			role.HandoverRequested, role.Successor = false, ""
		}
	})
	return nil
}

func (t *roleTable) move(role *Role, call RoleCall) *Error {
	if role.Owner == nil {
		return refuse(Conflict, "nobody holds %s", role.Name)
	}
	successor := ""
	if call.Successor != "" {
		i := role.waitingMatch(call.Successor)
		if i < 0 {
			return refuse(Conflict, "%.80q does not wait for %s", call.Successor, role.Name)
		}
		successor = role.Waiting[i].Process
	}
	t.edit(role, func() {
		role.HandoverRequested, role.Successor, role.RenewalBarred = true, successor, role.RenewalBarred || call.Force
	})
	return nil
}

// applyByOwner applies what only the owner may do. A step that the call has is recorded first, whatever the operation.
func (t *roleTable) applyByOwner(role *Role, op Op, call RoleCall) *Error {
	if err := checkOwner(role, call); err != nil {
		return err
	}
	if err := checkOwnerCall(role, op, call); err != nil {
		return err
	}
	if call.StepNo != nil {
		t.edit(role, func() { role.Step, role.StepNo = call.Step, role.StepNo+1 })
	}
	switch op {
	case Forget:
		t.forget(call)
	case Release:
		t.release(role, call)
	}
	return nil
}

// checkOwner is the check of the fencing token.
func checkOwner(role *Role, call RoleCall) *Error {
	switch {
	case call.Epoch > role.Epoch:
		return refuse(Invalid, "epoch %d of %s is from the future: it is at %d", call.Epoch, role.Name, role.Epoch)
	case !role.IsOwner(call.Process) || call.Epoch < role.Epoch:
		return refuse(Conflict, "%s does not hold %s under epoch %d: it is at %d", call.Process, role.Name, call.Epoch, role.Epoch)
	}
	return nil
}

func checkOwnerCall(role *Role, op Op, call RoleCall) *Error {
	switch {
	case op == Forget && (len(call.IdleRoles) > maxRoleBatch || call.IdleMS < MinIdle.Milliseconds()):
		return refuse(Invalid, "%d duties idle for %d ms: at most %d, for %d ms at least", len(call.IdleRoles), call.IdleMS, maxRoleBatch,
			MinIdle.Milliseconds())
	case len(call.Step) > MaxStepBytes:
		return refuse(Invalid, "a step has %d bytes at most", MaxStepBytes)
	case op == Checkpoint && call.StepNo == nil:
		return refuse(Invalid, "step_no is missing: the number of the step that was read")
	case call.StepNo != nil && *call.StepNo != role.StepNo:
		return refuse(Conflict, "%s is at step %d, not %d", role.Name, role.StepNo, *call.StepNo)
	}
	return nil
}

// release ends the owner's lease and grants the role to the successor that the call names, else to the one of a requested handover, else
// to the best candidate.
func (t *roleTable) release(role *Role, call RoleCall) {
	owner, successor := *role.Owner, role.Successor
	if call.Successor != "" {
		successor = call.Successor
	}
	t.endLease(role, call.Failed, call.NowMS)
	if call.Rejoin {
		t.edit(role, func() { role.Waiting = append(role.Waiting, owner) })
	}
	t.grant(role, grantOptions{nowMS: call.NowMS, successor: successor, last: owner.Process})
}

// forget drops roles that are out of use, which would fill the table for good. Their epochs are remembered by the highest one, because
// an epoch must never come twice under a name.
func (t *roleTable) forget(call RoleCall) {
	for _, name := range call.IdleRoles {
		role := t.byName[name]
		if role == nil || !role.idle(call) {
			continue
		}
		t.forgottenEpoch = max(t.forgottenEpoch, role.Epoch)
		delete(t.byName, name)
		t.revision++
	}
}

func (r *Role) idle(call RoleCall) bool {
	return r.Owner == nil && len(r.Waiting) == 0 && call.NowMS-r.SinceMS >= call.IdleMS
}

// endLeases applies what the leader observed. Candidates that timed out go first, so that none of them gets a role that falls free.
func (t *roleTable) endLeases(call RoleCall) {
	for _, ref := range call.TimedOut {
		if role := t.byName[ref.Name]; role != nil {
			_ = t.withdraw(role, ref.Process) // refused where it waits no more, which is as well
		}
	}
	for _, ref := range call.Ended {
		role := t.byName[ref.Name]
		if role == nil || role.Owner == nil || role.Epoch != ref.Epoch || call.LeaseTerm != t.leaseTerm {
			continue
		}
		successor := role.Successor
		t.endLease(role, !role.HandoverRequested, call.NowMS)
		t.grant(role, grantOptions{nowMS: call.NowMS, successor: successor})
	}
	for _, name := range call.Due {
		if role := t.byName[name]; role != nil && role.Owner == nil {
			t.grant(role, grantOptions{nowMS: call.NowMS})
		}
	}
}
