package org.almondmount.wire.impl;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

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
import org.almondmount.model.RackId;
import org.almondmount.model.Resources;
import org.almondmount.model.Urgency;
import org.almondmount.model.WorkerId;
import org.almondmount.model.WorkerInfo;
import org.almondmount.model.ZoneId;
import org.almondmount.model.ZoneState;
import org.almondmount.wire.PeerInfo;

/**
 * Encodes and decodes the values inside messages. Each value is an array of fields; new
 * fields are only added at the end, so that older versions can skip them.
 */
final class ValueCodec {

	private ValueCodec() {
	}

	static void writeAttempt(FrameWriter out, Attempt attempt) {
		out.writeArrayHeader(2).writeString(attempt.job().value()).writeLong(attempt.number());
	}

	static Attempt readAttempt(FrameReader in) {
		in.beginArray();
		Attempt attempt = new Attempt(new JobId(in.readString()), in.readInt());
		in.endArray();
		return attempt;
	}

	static void writeHeldMember(FrameWriter out, HeldMember held) {
		out.writeArrayHeader(4);
		writeAttempt(out, held.attempt());
		out.writeLong(held.member()).writeLong(held.members()).writeBoolean(held.running());
	}

	static HeldMember readHeldMember(FrameReader in) {
		in.beginArray();
		HeldMember held = new HeldMember(readAttempt(in), in.readInt(), in.readInt(), in.readBoolean());
		in.endArray();
		return held;
	}

	static void writeResources(FrameWriter out, Resources resources) {
		out.writeArrayHeader(3)
			.writeLong(resources.accelerators())
			.writeLong(resources.cores())
			.writeLong(resources.memoryMb());
	}

	static Resources readResources(FrameReader in) {
		in.beginArray();
		Resources resources = new Resources(in.readInt(), in.readInt(), in.readInt());
		in.endArray();
		return resources;
	}

	static void writeJobSpec(FrameWriter out, JobSpec spec) {
		out.writeArrayHeader(8).writeString(spec.customer().value()).writeString(spec.jobClass());
		writeGangShape(out, spec.shape());
		out.writeEnum(spec.urgency()).writeBoolean(spec.repeatable());
		out.writeLong(spec.declaredRunTime().toMillis())
			.writeLong(spec.checkpointEvery().toMillis())
			.writeString(spec.program());
	}

	static JobSpec readJobSpec(FrameReader in) {
		in.beginArray();
		JobSpec spec = new JobSpec(new CustomerId(in.readString()), in.readString(), readGangShape(in),
				in.readEnum(Urgency.class), in.readBoolean(), Duration.ofMillis(in.readLong()),
				Duration.ofMillis(in.readLong()), in.readString());
		in.endArray();
		return spec;
	}

	static void writeConfiguration(FrameWriter out, Configuration configuration) {
		out.writeArrayHeader(4).writeLong(configuration.revision());
		out.writeList(configuration.customers().values(), ValueCodec::writeCustomer);
		out.writeArrayHeader(configuration.zones().size());
		configuration.zones()
			.forEach((zone, state) -> out.writeArrayHeader(2).writeString(zone.value()).writeEnum(state));
		out.writeStringMap(configuration.options());
	}

	static Configuration readConfiguration(FrameReader in) {
		in.beginArray();
		long revision = in.readLong();
		Map<CustomerId, Customer> customers = new LinkedHashMap<>();
		for (Customer customer : in.readList(ValueCodec::readCustomer)) {
			customers.put(customer.id(), customer);
		}
		Map<ZoneId, ZoneState> zones = new LinkedHashMap<>();
		in.beginArray();
		while (in.hasNext()) {
			in.beginArray();
			zones.put(new ZoneId(in.readString()), in.readEnum(ZoneState.class));
			in.endArray();
		}
		in.endArray();
		Configuration configuration = new Configuration(revision, customers, zones, in.readStringMap());
		in.endArray();
		return configuration;
	}

	static void writePeerInfo(FrameWriter out, PeerInfo info) {
		out.writeArrayHeader(7)
			.writeEnum(info.role())
			.writeString(info.name())
			.writeString(info.address())
			.writeString(info.zone());
		if (info.worker().isPresent()) {
			writeWorkerInfo(out, info.worker().get());
		}
		else {
			out.writeNil();
		}
		out.writeLong(info.slots()).writeLong(info.incarnation());
	}

	static PeerInfo readPeerInfo(FrameReader in) {
		in.beginArray();
		PeerInfo.Role role = in.readEnum(PeerInfo.Role.class);
		String name = in.readString();
		String address = in.readString();
		String zone = in.readString();
		Optional<WorkerInfo> worker = in.tryReadNil() ? Optional.empty() : Optional.of(readWorkerInfo(in));
		PeerInfo info = new PeerInfo(role, name, address, zone, worker, in.readInt(), in.readLong());
		in.endArray();
		return info;
	}

	private static void writeWorkerInfo(FrameWriter out, WorkerInfo worker) {
		out.writeArrayHeader(4)
			.writeString(worker.id().value())
			.writeString(worker.zone().value())
			.writeString(worker.rack().value());
		writeResources(out, worker.capacity());
	}

	private static WorkerInfo readWorkerInfo(FrameReader in) {
		in.beginArray();
		WorkerInfo worker = new WorkerInfo(new WorkerId(in.readString()), new ZoneId(in.readString()),
				new RackId(in.readString()), readResources(in));
		in.endArray();
		return worker;
	}

	private static void writeGangShape(FrameWriter out, GangShape shape) {
		out.writeArrayHeader(3).writeLong(shape.members());
		writeResources(out, shape.perMember());
		out.writeEnum(shape.adjacency());
	}

	private static GangShape readGangShape(FrameReader in) {
		in.beginArray();
		GangShape shape = new GangShape(in.readInt(), readResources(in), in.readEnum(Adjacency.class));
		in.endArray();
		return shape;
	}

	private static void writeCustomer(FrameWriter out, Customer customer) {
		out.writeArrayHeader(3).writeString(customer.id().value()).writeDouble(customer.weight());
		out.writeList(customer.guarantees(), (to, guarantee) -> {
			to.writeArrayHeader(2).writeLong(guarantee.gangs());
			writeGangShape(to, guarantee.shape());
		});
	}

	private static Customer readCustomer(FrameReader in) {
		in.beginArray();
		CustomerId id = new CustomerId(in.readString());
		double weight = in.readDouble();
		List<GuaranteedShape> guarantees = new ArrayList<>(in.readList((from) -> {
			from.beginArray();
			GuaranteedShape guarantee = new GuaranteedShape(from.readInt(), readGangShape(from));
			from.endArray();
			return guarantee;
		}));
		in.endArray();
		return new Customer(id, weight, guarantees);
	}

}
