package org.almondmount.daemon.entry.control;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.almondmount.daemon.entry.api.ApiCall;
import org.almondmount.daemon.entry.api.IntentDocument;
import org.almondmount.daemon.entry.api.JobDocument;
import org.almondmount.daemon.entry.json.DocumentException;
import org.almondmount.daemon.entry.json.DurationText;
import org.almondmount.daemon.entry.json.Json;
import org.almondmount.daemon.entry.shell.MonotonicClock;
import org.almondmount.http.HttpAnswer;
import org.almondmount.jobs.JobEvent;
import org.almondmount.model.CustomerId;
import org.almondmount.model.InvalidValueException;
import org.almondmount.model.JobId;
import org.almondmount.model.RefusalReason;

/**
 * Answers job and operator calls at the holder of the scheduler's lease. Owned by the
 * control duty.
 */
final class ControlApi {

	private static final int OK = 200;

	private static final int ACCEPTED = 202;

	private static final Duration LONGEST_WAIT = Duration.ofMinutes(5);

	private static final long CANCEL_WITHIN_MILLIS = 10_000;

	private static final int MOST_WAITING_WRITES = 4_000;

	private static final int MOST_LISTED = 1_000;

	private final MonotonicClock clock;

	private final Answerer answerer;

	private final Scheduling scheduling;

	ControlApi(MonotonicClock clock, Answerer answerer, Scheduling scheduling) {
		this.clock = clock;
		this.answerer = answerer;
		this.scheduling = scheduling;
	}

	/**
	 * How long a call may take to be answered.
	 * @param call the call
	 * @return milliseconds beyond what the call itself asks to wait
	 * @throws DocumentException if its wait is no duration
	 */
	static Duration waitOf(ApiCall call) {
		String text = call.query().get("wait");
		if (text == null) {
			return Duration.ZERO;
		}
		Duration wait = DurationText.read("wait", text);
		return (wait.compareTo(LONGEST_WAIT) > 0) ? LONGEST_WAIT : wait;
	}

	void handle(SchedulerTerm term, ApiCall call, Responder responder) {
		try {
			dispatch(term, call, responder);
		}
		catch (DocumentException | InvalidValueException ex) {
			responder.answer(this.answerer.notRun(RefusalReason.INVALID, Json.located(call.body(), ex)));
		}
	}

	private void dispatch(SchedulerTerm term, ApiCall call, Responder responder) {
		List<String> segments = call.segments();
		String first = segments.isEmpty() ? "" : segments.get(0);
		if (first.equals("jobs")) {
			jobs(term, call, segments, responder);
			return;
		}
		if (first.equals("explain") && segments.size() == 2 && call.isRead()) {
			explain(term, call, segments.get(1), responder);
			return;
		}
		if (!call.caller().isOperator()) {
			responder.answer(this.answerer.notRun(RefusalReason.FORBIDDEN, "the call is for operators"));
			return;
		}
		operator(term, call, segments, responder);
	}

	private void operator(SchedulerTerm term, ApiCall call, List<String> segments, Responder responder) {
		String route = call.method() + " " + String.join("/", segments);
		if (route.equals("POST plans")) {
			IntentDocument document = Json.read(call.body(), IntentDocument.class);
			term.plans().plan(document.read(), call.caller().operator(), responder);
		}
		else if (segments.size() == 3 && segments.get(0).equals("plans") && route.startsWith("POST ")
				&& segments.get(2).equals("confirm")) {
			term.plans().confirm(new JobId(segments.get(1)).value(), call.caller().operator(), responder);
		}
		else if (route.equals("GET workers")) {
			responder.answer(this.answerer.document(OK, Listings.document("workers",
					term.driver().scheduler().workers().stream().map(Listings::worker).toList())));
		}
		else if (route.equals("GET history")) {
			responder.answer(this.answerer.document(OK, Listings.document("history",
					this.scheduling.history().last(MOST_LISTED).stream().map(Listings::history).toList())));
		}
		else {
			responder.answer(notFound(call));
		}
	}

	private void jobs(SchedulerTerm term, ApiCall call, List<String> segments, Responder responder) {
		if (segments.size() == 1 && call.method().equals("POST")) {
			submit(term, call, responder);
		}
		else if (segments.size() == 1 && call.isRead()) {
			list(term, call, responder);
		}
		else if (segments.size() == 2 && call.isRead()) {
			read(term, call, new JobId(segments.get(1)), responder);
		}
		else if (segments.size() == 2 && call.method().equals("DELETE")) {
			cancel(term, call, new JobId(segments.get(1)), responder);
		}
		else {
			responder.answer(notFound(call));
		}
	}

	private void submit(SchedulerTerm term, ApiCall call, Responder responder) {
		if (call.caller().customer().isEmpty()) {
			responder.answer(this.answerer.notRun(RefusalReason.FORBIDDEN,
					"a job belongs to a customer and an operator's token names none"));
			return;
		}
		CustomerId customer = call.caller().customer().get();
		JobDocument document = Json.read(call.body(), JobDocument.class);
		if (term.store().waitingWrites() > MOST_WAITING_WRITES) {
			responder.answer(this.answerer.comeBack(RefusalReason.OVERLOADED, "too many writes wait for the table"));
			return;
		}
		term.submit(new Submission(term.nextJob(), document.spec(customer), call.key(), hash(call.body()), responder));
	}

	private void list(SchedulerTerm term, ApiCall call, Responder responder) {
		List<Map<String, Object>> documents = new ArrayList<>();
		for (JobRecord job : term.store().jobs()) {
			if (call.caller().maySee(job.spec().customer())) {
				documents.add(term.document(job));
			}
		}
		int from = Math.max(0, documents.size() - MOST_LISTED);
		responder
			.answer(this.answerer.document(OK, Listings.document("jobs", documents.subList(from, documents.size()))));
	}

	private void read(SchedulerTerm term, ApiCall call, JobId id, Responder responder) {
		Optional<JobRecord> job = visible(term, call, id, responder);
		if (job.isEmpty()) {
			return;
		}
		Duration wait = waitOf(call);
		if (wait.isZero()) {
			responder.answer(this.answerer.document(OK, term.document(job.get())));
			return;
		}
		term.await(id, new JobWaiter(responder, this.clock.millis() + wait.toMillis(), OK));
	}

	private void cancel(SchedulerTerm term, ApiCall call, JobId id, Responder responder) {
		if (visible(term, call, id, responder).isEmpty()) {
			return;
		}
		term.await(id, new JobWaiter(responder, this.clock.millis() + CANCEL_WITHIN_MILLIS, ACCEPTED));
		term.driver().feed(new JobEvent.JobCancelled(id));
	}

	private void explain(SchedulerTerm term, ApiCall call, String subject, Responder responder) {
		JobId id = new JobId(subject);
		if (visible(term, call, id, responder).isEmpty()) {
			return;
		}
		List<String> sentences = term.driver().scheduler().explain(id);
		if (sentences.isEmpty()) {
			sentences = this.scheduling.history().about(subject);
		}
		responder.answer(this.answerer.document(OK, Listings.document("about", subject, "why", sentences)));
	}

	// Whoever may not see a job hears the same as if there were none: identifiers can be
	// guessed, and a different answer would tell which ones are in use.
	private Optional<JobRecord> visible(SchedulerTerm term, ApiCall call, JobId id, Responder responder) {
		Optional<JobRecord> job = term.store().job(id).filter((each) -> call.caller().maySee(each.spec().customer()));
		if (job.isEmpty()) {
			responder.answer(this.answerer.notRun(RefusalReason.NOT_FOUND, "there is no job " + id + " of yours"));
		}
		return job;
	}

	private HttpAnswer notFound(ApiCall call) {
		return this.answerer.notRun(RefusalReason.NOT_FOUND,
				"there is no call " + call.method() + " " + call.path().split("\\?", 2)[0]);
	}

	private static String hash(byte[] body) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(body));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
