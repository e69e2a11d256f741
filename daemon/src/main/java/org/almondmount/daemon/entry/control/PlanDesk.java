package org.almondmount.daemon.entry.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.almondmount.configuration.ConfirmationCommand;
import org.almondmount.configuration.ConfirmationEvent;
import org.almondmount.configuration.ConfirmationManager;
import org.almondmount.daemon.entry.json.Json;
import org.almondmount.daemon.entry.shell.EntryContext;
import org.almondmount.daemon.entry.shell.Mailbox;
import org.almondmount.daemon.entry.store.Keys;
import org.almondmount.daemon.entry.store.Rows.ConfigurationRow;
import org.almondmount.daemon.entry.store.Rows.HistoryRow;
import org.almondmount.daemon.entry.store.Rows.PlanRow;
import org.almondmount.daemon.entry.store.StoreOperation;
import org.almondmount.daemon.entry.store.StoreWriter;
import org.almondmount.jobs.JobScheduler;
import org.almondmount.model.Configuration;
import org.almondmount.model.Refusal;
import org.almondmount.model.RefusalReason;
import org.almondmount.plan.Intent;
import org.almondmount.plan.Plan;
import org.almondmount.plan.PlanEffects;
import org.almondmount.services.TableService.CommitResult;
import org.almondmount.services.TableService.Condition;
import org.almondmount.services.TableService.ReadResult;
import org.almondmount.services.TableService.Row;
import org.almondmount.services.TableService.Write;
import org.almondmount.telemetry.EventLog;

/**
 * Operators' plans during one term as holder. Owned by the control duty.
 */
final class PlanDesk {

	private static final EventLog LOG = EventLog.of(PlanDesk.class);

	private static final long ANSWER_WITHIN_MILLIS = 10_000;

	private static final int CREATED = 201;

	private static final int OK = 200;

	private final EntryContext context;

	private final Mailbox mailbox;

	private final Parts parts;

	private final ConfirmationManager keeper = new ConfirmationManager(ANSWER_WITHIN_MILLIS);

	private final Map<Long, Confirmation> confirmations = new HashMap<>();

	private long lastNumber;

	private final Map<String, Responder> planning = new LinkedHashMap<>();

	private boolean closed;

	PlanDesk(EntryContext context, Mailbox mailbox, Parts parts) {
		this.context = context;
		this.mailbox = mailbox;
		this.parts = parts;
	}

	/**
	 * Whether starts are held back, because the ending of a change is open.
	 * @return true while it is
	 */
	boolean holdsStarts() {
		return this.keeper.areStartsHeld();
	}

	boolean isIdle() {
		return this.confirmations.isEmpty() && this.planning.isEmpty();
	}

	void tick() {
		feed(new ConfirmationEvent.Tick());
	}

	/** The term is over: those who wait hear that the ending is not known. */
	void close() {
		feed(new ConfirmationEvent.SteppedDown());
		this.closed = true;
		this.parts.writer.close();
		this.planning.forEach(this::unknown);
		this.planning.clear();
	}

	/**
	 * Works out a plan and keeps it until it is confirmed.
	 * @param intent what is wanted
	 * @param operator who wants it
	 * @param responder the place for the answer
	 */
	void plan(Intent intent, String operator, Responder responder) {
		PlanEffects effects = this.parts.scheduler.preview(this.context.clock().millis(), intent);
		if (effects.refusal().isPresent()) {
			responder.answer(this.parts.answerer.refusal(effects.refusal().get()));
			return;
		}
		long revision = this.parts.configuration.revision();
		String id = "p" + this.parts.epoch + "-" + ++this.lastNumber;
		PlanRow row = new PlanRow(id, intent, revision, operator);
		Plan plan = new Plan(id, intent, revision, effects);
		this.planning.put(id, responder);
		submit(List.of(this.parts.fence, new Condition(Keys.plan(id), 0)),
				List.of(new Write(Keys.plan(id), Optional.of(Json.write(row)))),
				this.context.clock().millis() + ANSWER_WITHIN_MILLIS, (result) -> planned(plan, result));
	}

	private void planned(Plan plan, CommitResult result) {
		Responder responder = this.planning.remove(plan.id());
		if (responder == null) {
			return;
		}
		if (result instanceof CommitResult.Committed) {
			responder.answer(this.parts.answerer.document(CREATED, Listings.plan(plan)));
		}
		else if (result instanceof CommitResult.Unknown) {
			unknown(plan.id(), responder);
		}
		else {
			responder.answer(this.parts.answerer.comeBack(RefusalReason.STORE_AWAY, "the table did not take the plan"));
		}
	}

	private void unknown(String plan, Responder responder) {
		responder.answer(this.parts.answerer.refusal(Refusal.mayHaveRun(RefusalReason.STORE_UNKNOWN,
				"the table has not said whether plan " + plan + " was kept; nothing changes until one is confirmed")));
	}

	/**
	 * Confirms a plan.
	 * @param id its identifier
	 * @param operator who confirms it
	 * @param responder the place for the answer
	 */
	void confirm(String id, String operator, Responder responder) {
		String planKey = Keys.plan(id);
		String configurationKey = Keys.configuration(this.context.settings().region());
		this.context.table()
			.read(planKey)
			.thenAcceptBoth(this.context.table().read(configurationKey), (plan, configuration) -> this.mailbox
				.deliver(() -> found(new Confirmation(id, operator, responder), plan, configuration)));
	}

	private void found(Confirmation confirmation, ReadResult<Optional<Row>> plan,
			ReadResult<Optional<Row>> configuration) {
		if (this.closed) {
			confirmation.responder.answer(
					this.parts.answerer.comeBack(RefusalReason.NO_SCHEDULER, "the entry lost the scheduler's lease"));
			return;
		}
		if (!(plan instanceof ReadResult.Found<Optional<Row>> planRow)
				|| !(configuration instanceof ReadResult.Found<Optional<Row>> configurationRow)) {
			confirmation.responder.answer(this.parts.answerer.comeBack(RefusalReason.STORE_AWAY,
					"the table does not answer; nothing was changed"));
			return;
		}
		if (planRow.rows().isEmpty()) {
			confirmation.responder.answer(this.parts.answerer.notRun(RefusalReason.NOT_FOUND,
					"there is no plan " + confirmation.plan + " that waits for confirmation"));
			return;
		}
		Row row = planRow.rows().get();
		PlanRow stored = Json.readRow(row.key(), row.value(), PlanRow.class);
		Configuration current = ConfigurationDriver.read(configurationRow.rows());
		this.parts.configuration.pushed(current);
		confirmation.conditions.add(this.parts.fence);
		confirmation.conditions.add(new Condition(row.key(), row.version()));
		confirmation.conditions.add(new Condition(Keys.configuration(this.context.settings().region()),
				configurationRow.rows().map(Row::version).orElse(0L)));
		long request = ++this.lastNumber;
		this.confirmations.put(request, confirmation);
		PlanEffects now = this.parts.scheduler.preview(this.context.clock().millis(), stored.intent());
		feed(new ConfirmationEvent.Confirmed(request,
				new Plan(stored.id(), stored.intent(), stored.againstRevision(), now), current));
	}

	private void feed(ConfirmationEvent event) {
		if (!this.closed) {
			this.keeper.handle(this.context.clock().millis(), event).forEach(this::carryOut);
		}
	}

	private void carryOut(ConfirmationCommand command) {
		if (command instanceof ConfirmationCommand.HoldStarts || command instanceof ConfirmationCommand.AllowStarts) {
			this.parts.startsChanged.run();
		}
		else if (command instanceof ConfirmationCommand.Commit commit) {
			commit(commit);
		}
		else if (command instanceof ConfirmationCommand.Accepted accepted) {
			this.parts.configuration.pushed(accepted.configuration());
		}
		else if (command instanceof ConfirmationCommand.AnswerAccepted accepted) {
			Confirmation confirmation = this.confirmations.remove(accepted.request());
			LOG.info("plan-confirmed", "plan", confirmation.plan, "operator", confirmation.operator, "revision",
					accepted.revision());
			confirmation.responder
				.answer(this.parts.answerer.document(OK, Listings.document("revision", accepted.revision())));
		}
		else if (command instanceof ConfirmationCommand.AnswerRefused refused) {
			Confirmation confirmation = this.confirmations.remove(refused.request());
			confirmation.responder
				.answer(this.parts.answerer.refusal(refused.refusal(), Map.of("plan", confirmation.plan)));
		}
	}

	private void commit(ConfirmationCommand.Commit commit) {
		Confirmation confirmation = latest(commit.plan().id());
		long revision = commit.next().revision();
		HistoryRow line = new HistoryRow(System.currentTimeMillis(), "revision " + revision,
				"Revision " + revision + " accepted: " + Listings.sentence(commit.plan().intent()) + ".",
				confirmation.operator);
		ConfigurationRow row = ConfigurationRow.of(commit.next());
		List<Write> writes = List.of(
				new Write(Keys.configuration(this.context.settings().region()), Optional.of(Json.write(row))),
				new Write(Keys.plan(commit.plan().id()), Optional.empty()),
				new Write(Keys.history(this.parts.epoch, revision), Optional.of(Json.write(line))));
		long giveUp = this.context.clock().millis() + ANSWER_WITHIN_MILLIS;
		submit(confirmation.conditions, writes, giveUp, (result) -> {
			if (result instanceof CommitResult.Unknown) {
				return;
			}
			if (result instanceof CommitResult.Committed) {
				this.parts.history.add(line);
			}
			feed(new ConfirmationEvent.CommitEnded(revision, ending(result)));
		});
	}

	private Confirmation latest(String plan) {
		Confirmation found = null;
		for (Confirmation each : this.confirmations.values()) {
			if (each.plan.equals(plan)) {
				found = each;
			}
		}
		return found;
	}

	private static ConfirmationEvent.CommitOutcome ending(CommitResult result) {
		if (result instanceof CommitResult.Committed) {
			return ConfirmationEvent.CommitOutcome.COMMITTED;
		}
		return (result instanceof CommitResult.Conflict) ? ConfirmationEvent.CommitOutcome.SUPERSEDED
				: ConfirmationEvent.CommitOutcome.NOT_COMMITTED;
	}

	private void submit(List<Condition> conditions, List<Write> writes, long giveUp, Consumer<CommitResult> then) {
		this.parts.writer.submit(new StoreOperation(conditions, writes, giveUp, (result) -> this.mailbox.deliver(() -> {
			if (!this.closed) {
				then.accept(result);
			}
		})));
	}

	/**
	 * What the desk works with.
	 *
	 * @param epoch the term's epoch
	 * @param fence the condition of every write
	 * @param scheduler works out effects
	 * @param configuration puts what is accepted in force
	 * @param writer writes to the table, one transaction after the other
	 * @param answerer makes answers
	 * @param history the lines of history
	 * @param startsChanged told when {@link PlanDesk#holdsStarts()} changes
	 */
	record Parts(long epoch, Condition fence, JobScheduler scheduler, ConfigurationDriver configuration,
			StoreWriter writer, Answerer answerer, HistoryLog history, Runnable startsChanged) {
	}

	private static final class Confirmation {

		private final String plan;

		private final String operator;

		private final Responder responder;

		private final List<Condition> conditions = new ArrayList<>();

		Confirmation(String plan, String operator, Responder responder) {
			this.plan = plan;
			this.operator = operator;
			this.responder = responder;
		}

	}

}
