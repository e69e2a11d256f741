package org.almondmount.daemon.target;

import java.net.InetSocketAddress;
import java.util.List;

import org.almondmount.http.HttpAnswer;
import org.almondmount.jobs.Attempt;
import org.almondmount.model.RequestId;
import org.almondmount.services.WorkerClient.TaskReport;
import org.almondmount.wire.CloseReason;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;

/**
 * Everything that is handed to the target's decisions duty.
 */
sealed interface TargetSignal {

	/** A connection's handshake succeeded. */
	record Opened(PeerConnection connection) implements TargetSignal {
	}

	/** A message came. */
	record Received(PeerConnection connection, Message message) implements TargetSignal {
	}

	/** A connection is gone. */
	record Closed(PeerConnection connection, CloseReason reason) implements TargetSignal {
	}

	/** A connection could not be opened. */
	record DialFailed(InetSocketAddress address, String why) implements TargetSignal {
	}

	/** A connection was opened by dialling this address. */
	record DialSucceeded(InetSocketAddress address) implements TargetSignal {
	}

	/** The instance answered whole. */
	record InstanceAnswered(RequestId request, int attempt, HttpAnswer answer) implements TargetSignal {
	}

	/** The instance gave no whole answer. */
	record InstanceFailed(RequestId request, int attempt, boolean mayHaveArrived, String why) implements TargetSignal {
	}

	/** The worker told its tasks. */
	record WorkerTold(List<TaskReport> tasks) implements TargetSignal {
	}

	/** The worker did not tell its tasks. */
	record WorkerSilent(String why) implements TargetSignal {
	}

	/** The worker did not take the order to start a task. */
	record StartFailed(Attempt attempt, int member, boolean mayHaveArrived, String why) implements TargetSignal {
	}

	/** Time passed. */
	record Tick() implements TargetSignal {
	}

	/** The process has to end gracefully. */
	record Drain() implements TargetSignal {
	}

}
