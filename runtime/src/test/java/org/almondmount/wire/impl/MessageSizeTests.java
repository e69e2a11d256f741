package org.almondmount.wire.impl;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.almondmount.gang.HeldMember;
import org.almondmount.jobs.Attempt;
import org.almondmount.model.Adjacency;
import org.almondmount.model.Configuration;
import org.almondmount.model.Customer;
import org.almondmount.model.CustomerId;
import org.almondmount.model.GangShape;
import org.almondmount.model.GuaranteedShape;
import org.almondmount.model.JobId;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;
import org.almondmount.model.Urgency;
import org.almondmount.wire.Message;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards the message sizes on which the calculations in docs/CAPACITY.md are based: a
 * message that outgrows its bound fails a test.
 */
class MessageSizeTests {

	private static final int MEMBER_COUNT = 6;

	private static final int CUSTOMER_COUNT = 470;

	@Test
	void heartbeatSizePerMemberIsBounded() {
		int empty = size(new Message.Heartbeat(1_000_000, 15_000, 1_000, 8, List.of()));
		int six = size(new Message.Heartbeat(1_000_000, 15_000, 1_000, 8, members()));

		assertThat(empty).isLessThanOrEqualTo(16);
		assertThat((six - empty) / MEMBER_COUNT).isLessThanOrEqualTo(38);
	}

	@Test
	void heartbeatReplySizePerAttemptIsBounded() {
		int empty = size(new Message.HeartbeatReply(1_000_000, 15_000, 3_000, List.of(), List.of(),
				List.of("10.120.130.140:7400", "10.120.130.141:7400")));
		int six = size(new Message.HeartbeatReply(1_000_000, 15_000, 3_000, attempts(), List.of(),
				List.of("10.120.130.140:7400", "10.120.130.141:7400")));

		assertThat(empty).isLessThanOrEqualTo(56);
		assertThat((six - empty) / MEMBER_COUNT).isLessThanOrEqualTo(30);
	}

	@Test
	void configurationSizePerCustomerIsBounded() {
		int bytes = size(new Message.ConfigurationPush(configuration()));

		assertThat(bytes / CUSTOMER_COUNT).isLessThanOrEqualTo(56);
	}

	@Test
	void memberMessageSizesAreBounded() {
		Resources each = new Resources(8, 48, 196_608);
		JobSpec spec = new JobSpec(new CustomerId("team-1000"), "training", new GangShape(512, each, Adjacency.ZONE),
				Urgency.NORMAL, true, Duration.ofHours(3), Duration.ofMinutes(10), "program-of-a-hundred-characters");

		assertThat(size(new Message.Prepare(1_000, attempt(1), 511, spec, true))).isLessThanOrEqualTo(126);
		assertThat(size(new Message.MemberOrder(1_000, attempt(1), 511, Message.Order.START))).isLessThanOrEqualTo(44);
		assertThat(size(new Message.MemberReport(attempt(1), 511, Message.Report.PREPARED, "")))
			.isLessThanOrEqualTo(45);
	}

	private static int size(Message message) {
		return MessageCodec.encode(message).length;
	}

	private static Attempt attempt(int number) {
		return new Attempt(new JobId("job-0123456789abcdef01234" + (10 + number)), 3);
	}

	private static List<Attempt> attempts() {
		List<Attempt> attempts = new ArrayList<>();
		for (int i = 0; i < MEMBER_COUNT; i++) {
			attempts.add(attempt(i));
		}
		return attempts;
	}

	private static List<HeldMember> members() {
		List<HeldMember> members = new ArrayList<>();
		for (int i = 0; i < MEMBER_COUNT; i++) {
			members.add(new HeldMember(attempt(i), 300 + i, 512, true));
		}
		return members;
	}

	private static Configuration configuration() {
		GuaranteedShape large = new GuaranteedShape(1, new GangShape(2, new Resources(8, 48, 196_608), Adjacency.RACK));
		GuaranteedShape small = new GuaranteedShape(4, new GangShape(1, new Resources(1, 6, 24_576), Adjacency.WORKER));
		Configuration configuration = Configuration.EMPTY.withRevision(15_000);
		for (int i = 0; i < CUSTOMER_COUNT; i++) {
			configuration = configuration
				.withCustomer(new Customer(new CustomerId("team-" + (1_000 + i)), 1, List.of(large, small)));
		}
		return configuration;
	}

}
