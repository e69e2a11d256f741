package org.almondmount.settings.impl;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import io.vavr.control.Either;
import org.almondmount.http.HttpLimits;
import org.almondmount.model.CustomerId;
import org.almondmount.model.EntryId;
import org.almondmount.model.RackId;
import org.almondmount.model.Resources;
import org.almondmount.model.WorkerId;
import org.almondmount.model.WorkerInfo;
import org.almondmount.model.ZoneId;
import org.almondmount.settings.EntrySettings;
import org.almondmount.settings.SettingsFault;
import org.almondmount.settings.TargetSettings;
import org.almondmount.wire.PeerSettings;
import org.almondmount.workflow.SchedulerFeature;

/**
 * Reads settings files and reports all faults of a file together. Thread-safe.
 */
public final class SettingsReader {

	private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory())
		.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

	private static final Duration MIN_DURATION = Duration.ofMillis(10);

	private static final Duration MAX_DURATION = Duration.ofHours(1);

	private static final int MIN_SECRET_LENGTH = 16;

	private static final int BYTES_PER_MEBIBYTE = 1 << 20;

	private static final int MAX_BYTES = 1 << 30;

	private static final int FRAME_OVERHEAD_BYTES = 64 << 10;

	private static final int MAX_CONNECTIONS = 1_000_000;

	private SettingsReader() {
	}

	/**
	 * Reads the settings of an entry.
	 * @param text the file's text
	 * @return the settings, or all faults in the order in which they were found
	 */
	public static Either<List<SettingsFault>, EntrySettings> readEntry(String text) {
		return read(text, SettingsReader::entry);
	}

	/**
	 * Reads the settings of a target.
	 * @param text the file's text
	 * @return the settings, or all faults in the order in which they were found
	 */
	public static Either<List<SettingsFault>, TargetSettings> readTarget(String text) {
		return read(text, SettingsReader::target);
	}

	/**
	 * Reads the policy of the workflow scheduler.
	 * @param text the file's text
	 * @return the enabled features, or all faults in the order in which they were found
	 */
	public static Either<List<SettingsFault>, Set<SchedulerFeature>> readPolicy(String text) {
		return read(text, (root) -> {
			Set<SchedulerFeature> features = features(root.section("policy"));
			root.rejectUnknownKeys();
			return features;
		});
	}

	/**
	 * Checks whether a file contains settings of a target rather than an entry.
	 * @param text the file's text
	 * @return whether the file has a key that only settings of a target have
	 */
	public static boolean isForTarget(String text) {
		try {
			JsonNode root = YAML.readTree(text);
			return root != null && (root.has("worker") || root.has("workerApi") || root.has("balancer"));
		}
		catch (JsonProcessingException ex) {
			return false;
		}
	}

	private static <T> Either<List<SettingsFault>, T> read(String text, Function<Section, T> converter) {
		List<SettingsFault> faults = new ArrayList<>();
		JsonNode root;
		try {
			root = YAML.readTree(text);
		}
		catch (JsonProcessingException ex) {
			String place = (ex.getLocation() != null)
					? "line " + ex.getLocation().getLineNr() + ", column " + ex.getLocation().getColumnNr() : "file";
			faults.add(new SettingsFault(place, "invalid YAML: " + firstLine(ex.getOriginalMessage()),
					"YAML, each key once", "correct the line"));
			return Either.left(faults);
		}
		if (root == null || !root.isObject()) {
			faults.add(new SettingsFault("file", "no mapping", "a mapping of settings",
					"start from an example in config/examples"));
			return Either.left(faults);
		}
		T settings = converter.apply(new Section("", root, faults));
		return faults.isEmpty() ? Either.right(settings) : Either.left(faults);
	}

	private static EntrySettings entry(Section root) {
		String name = root.parsed("name", (text) -> new EntryId(text).value());
		String region = root.parsed("region", (text) -> new EntryId(text).value());
		ZoneId zone = root.parsed("zone", ZoneId::new);
		InetSocketAddress http = root.address("http");
		InetSocketAddress peers = root.address("peers");
		InetSocketAddress advertise = root.addressOr("advertise", peers);
		InetSocketAddress table = root.address("table");
		InetSocketAddress objects = root.address("objects");
		EntrySettings.Timing timing = entryTiming(root.section("timing"));
		PeerSettings peer = peer(root.section("peer"), timing.heartbeat());
		Section limitsSection = root.section("limits");
		HttpLimits limits = limits(limitsSection);
		requireBodyFitsFrame(limits.maxBodyBytes(), peer, limitsSection);
		Map<String, CustomerId> customerTokens = new LinkedHashMap<>();
		Map<String, String> operatorTokens = new LinkedHashMap<>();
		tokens(root.section("tokens"), customerTokens, operatorTokens);
		root.rejectUnknownKeys();
		return new EntrySettings(name, region, zone, http, peers, advertise, table, objects, peer, limits,
				customerTokens, operatorTokens, timing);
	}

	private static TargetSettings target(Section root) {
		InetSocketAddress balancer = root.address("balancer");
		WorkerInfo worker = worker(root.section("worker"));
		InetSocketAddress workerApi = root.address("workerApi");
		InetSocketAddress instance = root.address("instance");
		int slots = root.number("slots", 8, 1, 10_000);
		int connections = root.number("connections", 64, 1, MAX_CONNECTIONS);
		TargetSettings.Timing timing = targetTiming(root.section("timing"));
		PeerSettings peer = peer(root.section("peer"), timing.heartbeat());
		root.rejectUnknownKeys();
		return new TargetSettings(balancer, worker, workerApi, instance, slots, connections, peer, timing);
	}

	private static Set<SchedulerFeature> features(Section section) {
		Set<SchedulerFeature> features = EnumSet.noneOf(SchedulerFeature.class);
		for (SchedulerFeature feature : SchedulerFeature.values()) {
			if (section.flag(feature.key(), feature.enabledByDefault())) {
				features.add(feature);
			}
		}
		section.rejectUnknownKeys();
		return features;
	}

	private static WorkerInfo worker(Section section) {
		WorkerId name = section.parsed("name", WorkerId::new);
		ZoneId zone = section.parsed("zone", ZoneId::new);
		RackId rack = section.parsed("rack", RackId::new);
		int accelerators = section.requiredNumber("accelerators", 0, 1_000);
		int cores = section.requiredNumber("cores", 1, 100_000);
		int memoryMb = section.mebibytes("memory");
		section.rejectUnknownKeys();
		return new WorkerInfo(name, zone, rack, new Resources(accelerators, cores, memoryMb));
	}

	private static PeerSettings peer(Section section, Duration heartbeat) {
		String key = section.secret("sharedKey", MIN_SECRET_LENGTH);
		PeerSettings defaults = PeerSettings.defaults(key);
		Duration heartbeatTimeout = section.duration("heartbeatTimeout", defaults.heartbeatTimeout(), MIN_DURATION,
				MAX_DURATION);
		Duration handshake = section.duration("handshakeTimeout", defaults.handshakeTimeout(), MIN_DURATION,
				MAX_DURATION);
		int frame = section.bytes("maxFrame", defaults.maxFrameBytes(), BYTES_PER_MEBIBYTE, MAX_BYTES);
		int outstanding = section.bytes("maxOutstanding", defaults.maxOutstandingBytes(), BYTES_PER_MEBIBYTE,
				MAX_BYTES);
		if (heartbeatTimeout.compareTo(heartbeat.multipliedBy(2)) < 0) {
			section.addFault("heartbeatTimeout", heartbeatTimeout.toMillis() + "ms",
					"at least twice timing.heartbeat, which is " + heartbeat.toMillis() + "ms",
					"raise it, or lower timing.heartbeat");
		}
		section.rejectUnknownKeys();
		return new PeerSettings(key, heartbeatTimeout, handshake, frame, outstanding);
	}

	private static HttpLimits limits(Section section) {
		HttpLimits defaults = HttpLimits.DEFAULT;
		HttpLimits limits = new HttpLimits(
				section.bytes("maxHeader", defaults.maxHeaderBytes(), 1_024, BYTES_PER_MEBIBYTE),
				section.bytes("maxBody", defaults.maxBodyBytes(), 1_024, MAX_BYTES),
				section.number("maxConnections", defaults.maxConnections(), 1, MAX_CONNECTIONS),
				section.duration("readTimeout", defaults.readTimeout(), MIN_DURATION, MAX_DURATION));
		section.rejectUnknownKeys();
		return limits;
	}

	// A body that is accepted from a caller but does not fit in a frame could not be sent
	// to a target.
	private static void requireBodyFitsFrame(int bodyBytes, PeerSettings peer, Section limits) {
		if (bodyBytes > peer.maxFrameBytes() - FRAME_OVERHEAD_BYTES) {
			limits.addFault("maxBody", bodyBytes + "B",
					"at most " + (peer.maxFrameBytes() - FRAME_OVERHEAD_BYTES)
							+ "B, which is peer.maxFrame without 64KiB of overhead for a body",
					"lower it, or raise peer.maxFrame on entries and targets");
		}
	}

	private static void tokens(Section section, Map<String, CustomerId> customers, Map<String, String> operators) {
		for (Section element : section.list("customers")) {
			String token = element.secret("token", MIN_SECRET_LENGTH);
			CustomerId customer = element.parsed("customer", CustomerId::new);
			if (customers.put(token, customer) != null) {
				reportDuplicateToken(element);
			}
			element.rejectUnknownKeys();
		}
		for (Section element : section.list("operators")) {
			String token = element.secret("token", MIN_SECRET_LENGTH);
			String operator = element.parsed("operator", (text) -> new EntryId(text).value());
			if (operators.put(token, operator) != null || customers.containsKey(token)) {
				reportDuplicateToken(element);
			}
			element.rejectUnknownKeys();
		}
		section.rejectUnknownKeys();
	}

	private static void reportDuplicateToken(Section section) {
		section.addFault("token", "a token that is already in the file", "each token once", "make a new token");
	}

	private static EntrySettings.Timing entryTiming(Section section) {
		EntrySettings.Timing defaults = EntrySettings.Timing.DEFAULT;
		EntrySettings.Timing timing = new EntrySettings.Timing(
				section.duration("heartbeat", defaults.heartbeat(), MIN_DURATION, MAX_DURATION),
				section.duration("schedulerLease", defaults.schedulerLease(), Duration.ofMillis(500), MAX_DURATION),
				section.duration("zoneFreshness", defaults.zoneFreshness(), MIN_DURATION, MAX_DURATION),
				section.duration("configurationPoll", defaults.configurationPoll(), MIN_DURATION, MAX_DURATION),
				section.duration("defaultDeadline", defaults.defaultDeadline(), MIN_DURATION, MAX_DURATION),
				section.duration("drain", defaults.drain(), MIN_DURATION, MAX_DURATION));
		if (timing.zoneFreshness().compareTo(timing.schedulerLease()) > 0) {
			section.addFault("zoneFreshness", timing.zoneFreshness().toMillis() + "ms",
					"at most schedulerLease, which is " + timing.schedulerLease().toMillis() + "ms",
					"lower it, or raise schedulerLease");
		}
		section.rejectUnknownKeys();
		return timing;
	}

	private static TargetSettings.Timing targetTiming(Section section) {
		TargetSettings.Timing defaults = TargetSettings.Timing.DEFAULT;
		TargetSettings.Timing timing = new TargetSettings.Timing(
				section.duration("heartbeat", defaults.heartbeat(), MIN_DURATION, MAX_DURATION),
				section.duration("prepareHold", defaults.prepareHold(), MIN_DURATION, MAX_DURATION),
				section.duration("gangTimeout", defaults.gangTimeout(), MIN_DURATION, MAX_DURATION),
				section.duration("taskLease", defaults.taskLease(), MIN_DURATION, MAX_DURATION),
				section.duration("workerPoll", defaults.workerPoll(), MIN_DURATION, MAX_DURATION),
				section.duration("drain", defaults.drain(), MIN_DURATION, MAX_DURATION));
		section.rejectUnknownKeys();
		return timing;
	}

	private static String firstLine(String text) {
		int end = text.indexOf('\n');
		return (end < 0) ? text : text.substring(0, end);
	}

}
