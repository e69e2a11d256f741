package org.almondmount.daemon.entry.control;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.almondmount.daemon.entry.api.ApiCall;
import org.almondmount.daemon.entry.api.Caller;
import org.almondmount.daemon.entry.json.KeyText;
import org.almondmount.daemon.entry.shell.MonotonicClock;
import org.almondmount.http.HttpAnswer;
import org.almondmount.model.CustomerId;
import org.almondmount.model.Refusal;
import org.almondmount.model.RefusalReason;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;

/**
 * Passes job and operator calls to the lease holder and matches its answers. Owned by the
 * control duty.
 * <p>
 * A holder can die or fall silent with a call: whether it was carried out is then not
 * known here. Only a call of which nothing was sent, or that changes nothing, is refused
 * as not run.
 */
final class Forwarder {

	private static final String OPERATOR = "almondmount-operator";

	private static final int MOST_OUTSTANDING = 4_096;

	private final MonotonicClock clock;

	private final Answerer answerer;

	private final Map<Long, Outstanding> outstanding = new HashMap<>();

	private long lastId;

	Forwarder(MonotonicClock clock, Answerer answerer) {
		this.clock = clock;
		this.answerer = answerer;
	}

	/**
	 * Passes a call on.
	 * @param holder the connection to the holder, empty if there is none
	 * @param call the call
	 * @param withinMillis time for the answer
	 * @param responder the place for the answer
	 */
	void forward(Optional<PeerConnection> holder, ApiCall call, long withinMillis, Responder responder) {
		if (holder.isEmpty()) {
			responder.answer(this.answerer.comeBack(RefusalReason.NO_SCHEDULER,
					"no entry that holds the scheduler's lease can be reached"));
			return;
		}
		if (this.outstanding.size() >= MOST_OUTSTANDING) {
			responder.answer(this.answerer.comeBack(RefusalReason.OVERLOADED, "too many calls wait for the scheduler"));
			return;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		call.key().ifPresent((key) -> headers.put(KeyText.HEADER, key));
		headers.put(OPERATOR, call.caller().operator());
		String customer = call.caller().customer().map(CustomerId::value).orElse("");
		long id = ++this.lastId;
		Message.Forward message = new Message.Forward(id, customer, call.method(), call.path(), call.body(), headers);
		if (!holder.get().send(message)) {
			responder.answer(this.answerer.comeBack(RefusalReason.NO_SCHEDULER,
					"nothing could be sent to the entry that holds the scheduler's lease"));
			return;
		}
		this.outstanding.put(id,
				new Outstanding(holder.get(), call.isRead(), this.clock.millis() + withinMillis, responder));
	}

	/**
	 * The call in a message, for the holder.
	 * @param forward the message
	 * @return the call
	 */
	static ApiCall call(Message.Forward forward) {
		Caller caller = forward.caller().isEmpty()
				? Caller.operator(forward.headers().getOrDefault(OPERATOR, "operator"))
				: Caller.of(new CustomerId(forward.caller()));
		return new ApiCall(caller, forward.method(), forward.path(), KeyText.read(forward.headers()), forward.body());
	}

	void answered(PeerConnection connection, Message.ForwardAnswer answer) {
		Outstanding call = this.outstanding.get(answer.id());
		if (call != null && call.connection == connection) {
			this.outstanding.remove(answer.id());
			call.responder.answer(new HttpAnswer(answer.status(), answer.headers(), answer.body()));
		}
	}

	boolean isIdle() {
		return this.outstanding.isEmpty();
	}

	/** Answers the calls that only wait for a job: another entry can wait as well. */
	void endWaits() {
		for (Iterator<Outstanding> each = this.outstanding.values().iterator(); each.hasNext();) {
			Outstanding call = each.next();
			if (call.read) {
				each.remove();
				call.responder.answer(this.answerer.notRun(RefusalReason.DRAINING, "the entry shuts down"));
			}
		}
	}

	void lost(PeerConnection connection) {
		end((call) -> call.connection == connection, "the connection to the scheduler was lost");
	}

	void tick() {
		long now = this.clock.millis();
		end((call) -> now >= call.until, "the scheduler did not answer in time");
	}

	private void end(Predicate<Outstanding> over, String why) {
		for (Iterator<Outstanding> each = this.outstanding.values().iterator(); each.hasNext();) {
			Outstanding call = each.next();
			if (!over.test(call)) {
				continue;
			}
			each.remove();
			Refusal refusal = call.read ? Refusal.notRun(RefusalReason.NO_SCHEDULER, why) : Refusal.mayHaveRun(
					RefusalReason.NO_SCHEDULER, why + "; a submission with an Idempotency-Key can safely be repeated");
			call.responder.answer(this.answerer.refusal(refusal.withRetryAfter(Answerer.COME_BACK)));
		}
	}

	private record Outstanding(PeerConnection connection, boolean read, long until, Responder responder) {
	}

}
