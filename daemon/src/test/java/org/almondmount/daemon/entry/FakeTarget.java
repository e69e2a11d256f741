package org.almondmount.daemon.entry;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;

import org.almondmount.gang.HeldMember;
import org.almondmount.jobs.Attempt;
import org.almondmount.jobs.JobOutcome;
import org.almondmount.model.RackId;
import org.almondmount.model.Resources;
import org.almondmount.model.WorkerId;
import org.almondmount.model.WorkerInfo;
import org.almondmount.model.ZoneId;
import org.almondmount.net.IoThreads;
import org.almondmount.telemetry.Telemetry;
import org.almondmount.wire.CloseReason;
import org.almondmount.wire.Message;
import org.almondmount.wire.PeerConnection;
import org.almondmount.wire.PeerInfo;
import org.almondmount.wire.PeerListener;
import org.almondmount.wire.PeerSettings;
import org.almondmount.wire.impl.NettyWireEndpoint;

/**
 * A target that a test plays: it lends slots, answers calls, holds and runs members as
 * ordered. Thread-safe.
 */
final class FakeTarget implements PeerListener, AutoCloseable {

	private static final long BEAT_MILLIS = 50;

	private final IoThreads io = new IoThreads("fake-target", 1);

	private final List<Message> heard = new CopyOnWriteArrayList<>();

	private final List<HeldMember> members = new CopyOnWriteArrayList<>();

	private final AtomicLong sequence = new AtomicLong();

	private final WorkerInfo worker;

	private volatile Function<Message.Call, Message> answers = (call) -> new Message.CallAnswer(call.request(),
			call.attempt(), 200, Map.of("content-type", "text/plain"), call.body());

	private volatile long revision;

	private volatile PeerConnection connection;

	private volatile ScheduledFuture<?> beat;

	FakeTarget(String name, String zone) {
		this.worker = new WorkerInfo(new WorkerId(name), new ZoneId(zone), new RackId("rack-1"),
				new Resources(8, 32, 131_072));
	}

	FakeTarget connect(InetSocketAddress entry, PeerSettings settings) {
		PeerInfo self = new PeerInfo(PeerInfo.Role.TARGET, this.worker.id().value(), "", this.worker.zone().value(),
				Optional.of(this.worker), 8, 1);
		new NettyWireEndpoint(this.io, new Telemetry()).dial(entry, self, settings, this).join();
		return this;
	}

	void answering(Function<Message.Call, Message> how) {
		this.answers = how;
	}

	long revision() {
		return this.revision;
	}

	<T extends Message> List<T> heard(Class<T> kind) {
		return this.heard.stream().filter(kind::isInstance).map(kind::cast).toList();
	}

	void end(Attempt attempt, int member, JobOutcome ending) {
		this.members.removeIf((held) -> held.attempt().equals(attempt) && held.member() == member);
		this.connection.send(new Message.MemberEnded(attempt, member, ending));
	}

	/** Loses a member without a word, as a target process that was replaced would. */
	void loseMembers() {
		this.members.clear();
	}

	void cut() {
		this.connection.close(CloseReason.LOCAL);
	}

	@Override
	public void onConnected(PeerConnection open) {
		this.connection = open;
		open.send(new Message.SlotsLent(8));
		this.beat = this.io.next()
			.scheduleAtFixedRate(() -> open.send(new Message.Heartbeat(this.sequence.incrementAndGet(), this.revision,
					0, 0, List.copyOf(this.members))), 0, BEAT_MILLIS, TimeUnit.MILLISECONDS);
	}

	@Override
	public void onMessage(PeerConnection from, Message message) {
		if (!(message instanceof Message.HeartbeatReply)) {
			this.heard.add(message);
		}
		if (message instanceof Message.ConfigurationPush push) {
			this.revision = Math.max(this.revision, push.configuration().revision());
		}
		else if (message instanceof Message.Call call) {
			Message answer = this.answers.apply(call);
			if (answer != null) {
				from.send(answer);
			}
		}
		else if (message instanceof Message.Prepare prepare) {
			this.members
				.add(new HeldMember(prepare.attempt(), prepare.member(), prepare.spec().shape().members(), false));
			from.send(new Message.MemberReport(prepare.attempt(), prepare.member(), Message.Report.PREPARED, ""));
		}
		else if (message instanceof Message.MemberOrder order) {
			ordered(from, order);
		}
	}

	@Override
	public void onDisconnected(PeerConnection gone, CloseReason reason) {
		this.beat.cancel(false);
	}

	@Override
	public void close() {
		this.io.close();
	}

	private void ordered(PeerConnection from, Message.MemberOrder order) {
		if (order.order() == Message.Order.START) {
			this.members.replaceAll((held) -> {
				boolean started = held.attempt().equals(order.attempt()) && held.member() == order.member();
				return new HeldMember(held.attempt(), held.member(), held.members(), held.running() || started);
			});
			from.send(new Message.MemberReport(order.attempt(), order.member(), Message.Report.STARTED, ""));
		}
		else if (order.order() != Message.Order.THROTTLE) {
			JobOutcome ending = (order.order() == Message.Order.SUSPEND) ? JobOutcome.SUSPENDED : JobOutcome.STOPPED;
			end(order.attempt(), order.member(), ending);
		}
	}

}
