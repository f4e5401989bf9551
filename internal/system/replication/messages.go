package replication

import "gradeusher.example/gradeusher/internal/system/replication/replicationpb"

// The functions in this file wrap the body of a message. environment.send sets the sender and the receiver.

func prepareMessage(body *replicationpb.Prepare) *replicationpb.Message {
	return &replicationpb.Message{Body: &replicationpb.Message_Prepare{Prepare: body}}
}

func promiseMessage(body *replicationpb.Promise) *replicationpb.Message {
	return &replicationpb.Message{Body: &replicationpb.Message_Promise{Promise: body}}
}

func acceptMessage(body *replicationpb.Accept) *replicationpb.Message {
	return &replicationpb.Message{Body: &replicationpb.Message_Accept{Accept: body}}
}

func acceptedMessage(body *replicationpb.Accepted) *replicationpb.Message {
	return &replicationpb.Message{Body: &replicationpb.Message_Accepted{Accepted: body}}
}

func rejectMessage(body *replicationpb.Reject) *replicationpb.Message {
	return &replicationpb.Message{Body: &replicationpb.Message_Reject{Reject: body}}
}

func chosenMessage(v *View) *replicationpb.Message {
	return &replicationpb.Message{Body: &replicationpb.Message_Chosen{Chosen: &replicationpb.Chosen{View: viewPB(v)}}}
}

func sealMessage(epoch uint64) *replicationpb.Message {
	return &replicationpb.Message{Body: &replicationpb.Message_Seal{Seal: &replicationpb.Seal{Epoch: epoch}}}
}

func heartbeatMessage(body *replicationpb.Heartbeat) *replicationpb.Message {
	return &replicationpb.Message{Body: &replicationpb.Message_Heartbeat{Heartbeat: body}}
}

func appendMessage(body *replicationpb.Append) *replicationpb.Message {
	return &replicationpb.Message{Body: &replicationpb.Message_Append{Append: body}}
}

func ackMessage(body *replicationpb.Ack) *replicationpb.Message {
	return &replicationpb.Message{Body: &replicationpb.Message_Ack{Ack: body}}
}

func installMessage(body *replicationpb.Install) *replicationpb.Message {
	return &replicationpb.Message{Body: &replicationpb.Message_Install{Install: body}}
}

func followMessage(body *replicationpb.Follow) *replicationpb.Message {
	return &replicationpb.Message{Body: &replicationpb.Message_Follow{Follow: body}}
}

func forwardMessage(body *replicationpb.Forward) *replicationpb.Message {
	return &replicationpb.Message{Body: &replicationpb.Message_Forward{Forward: body}}
}

func answerMessage(body *replicationpb.Answer) *replicationpb.Message {
	return &replicationpb.Message{Body: &replicationpb.Message_Answer{Answer: body}}
}

func confirmMessage(body *replicationpb.Confirm) *replicationpb.Message {
	return &replicationpb.Message{Body: &replicationpb.Message_Confirm{Confirm: body}}
}

func confirmedMessage(body *replicationpb.Confirmed) *replicationpb.Message {
	return &replicationpb.Message{Body: &replicationpb.Message_Confirmed{Confirmed: body}}
}

func readIndexMessage(body *replicationpb.ReadIndex) *replicationpb.Message {
	return &replicationpb.Message{Body: &replicationpb.Message_ReadIndex{ReadIndex: body}}
}

func readAtMessage(body *replicationpb.ReadAt) *replicationpb.Message {
	return &replicationpb.Message{Body: &replicationpb.Message_ReadAt{ReadAt: body}}
}
