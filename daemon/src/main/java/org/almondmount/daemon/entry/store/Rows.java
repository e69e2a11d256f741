package org.almondmount.daemon.entry.store;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.almondmount.jobs.Assignment;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.Configuration;
import org.almondmount.model.Customer;
import org.almondmount.model.CustomerId;
import org.almondmount.model.EntryId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.RequestId;
import org.almondmount.model.ZoneId;
import org.almondmount.model.ZoneState;
import org.almondmount.plan.Intent;

/**
 * The rows as records; JSON is written and read by
 * {@link org.almondmount.daemon.entry.json.Json}.
 */
public final class Rows {

	private Rows() {
	}

	/**
	 * The row that fences a holder's commits.
	 *
	 * @param epoch the epoch of the last takeover
	 * @param holder who took over
	 */
	public record EpochRow(long epoch, EntryId holder) {
	}

	/**
	 * The accepted configuration.
	 *
	 * @param revision its revision
	 * @param customers its customers
	 * @param zones its zones' states by name
	 * @param options its options
	 */
	public record ConfigurationRow(long revision, List<Customer> customers, Map<String, ZoneState> zones,
			Map<String, String> options) {

		/**
		 * The row of a configuration.
		 * @param configuration the configuration
		 * @return its row
		 */
		public static ConfigurationRow of(Configuration configuration) {
			Map<String, ZoneState> zones = new TreeMap<>();
			configuration.zones().forEach((zone, state) -> zones.put(zone.value(), state));
			return new ConfigurationRow(configuration.revision(),
					List.copyOf(new TreeMap<>(configuration.customers()).values()), zones,
					new TreeMap<>(configuration.options()));
		}

		/**
		 * The configuration of the row.
		 * @return the configuration
		 */
		public Configuration configuration() {
			Map<CustomerId, Customer> byId = new TreeMap<>();
			this.customers.forEach((customer) -> byId.put(customer.id(), customer));
			Map<ZoneId, ZoneState> byZone = new TreeMap<>();
			this.zones.forEach((zone, state) -> byZone.put(new ZoneId(zone), state));
			return new Configuration(this.revision, byId, byZone, this.options);
		}

	}

	/**
	 * A plan that waits for its confirmation.
	 *
	 * @param id its identifier
	 * @param intent what is wanted
	 * @param againstRevision the configuration that it was computed against
	 * @param operator who asked for it
	 */
	public record PlanRow(String id, Intent intent, long againstRevision, String operator) {
	}

	/**
	 * A job.
	 *
	 * @param spec what was submitted
	 * @param attempt the last committed attempt, 0 if none
	 * @param placement where that attempt was placed
	 * @param ending its final ending, if it has one
	 * @param why a sentence about the ending
	 * @param submitted when it was accepted, milliseconds since 1970, for people
	 */
	public record JobRow(JobSpec spec, int attempt, List<Assignment> placement, JobOutcome ending, String why,
			long submitted) {

		public JobRow {
			placement = List.copyOf(placement);
		}

		/**
		 * How the job ended.
		 * @return the ending, or empty while it has none
		 */
		public Optional<JobOutcome> ended() {
			return Optional.ofNullable(this.ending);
		}

	}

	/**
	 * The claim of an idempotency key, with the answer once it is known.
	 *
	 * @param request the request or job that claimed it
	 * @param hash a hash of the content for which it was claimed
	 * @param status the answer's status, 0 while there is none
	 * @param headers the answer's headers
	 * @param body the answer's body
	 */
	public record ClaimRow(RequestId request, String hash, int status, Map<String, String> headers, byte[] body) {

		/**
		 * Whether the answer is recorded.
		 * @return true if it is
		 */
		public boolean answered() {
			return this.status != 0;
		}

	}

	/**
	 * An entry.
	 *
	 * @param address where it accepts peers
	 * @param renewals grows with each renewal
	 */
	public record EntryRow(String address, long renewals) {
	}

	/**
	 * A line of history.
	 *
	 * @param at when, milliseconds since 1970, for people
	 * @param subject what it is about
	 * @param what what happened
	 * @param by who wanted it
	 */
	public record HistoryRow(long at, String subject, String what, String by) {
	}

}
