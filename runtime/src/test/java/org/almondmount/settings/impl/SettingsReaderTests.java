package org.almondmount.settings.impl;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

import io.vavr.control.Either;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.almondmount.http.HttpLimits;
import org.almondmount.model.CustomerId;
import org.almondmount.model.Resources;
import org.almondmount.settings.EntrySettings;
import org.almondmount.settings.SettingsFault;
import org.almondmount.settings.TargetSettings;
import org.almondmount.settings.util.Quantity;
import org.almondmount.wire.PeerSettings;
import org.almondmount.workflow.SchedulerFeature;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class SettingsReaderTests {

	private static final Path EXAMPLES = Path.of("..", "config", "examples");

	@Test
	void theExampleOfAnEntryGivesTheDefaults() throws IOException {
		EntrySettings settings = SettingsReader.readEntry(example("entry.yaml")).get();
		assertThat(settings.timing()).isEqualTo(EntrySettings.Timing.DEFAULT);
		assertThat(settings.limits()).isEqualTo(HttpLimits.DEFAULT);
		assertThat(settings.peer()).isEqualTo(PeerSettings.defaults("replace-this-by-a-random-secret"));
		assertThat(settings.customerTokens().values()).containsExactly(new CustomerId("norrbotten"));
		assertThat(settings.advertise()).isEqualTo(settings.peers());
	}

	@Test
	void theExampleOfATargetGivesTheDefaults() throws IOException {
		TargetSettings settings = SettingsReader.readTarget(example("target.yaml")).get();
		assertThat(settings.timing()).isEqualTo(TargetSettings.Timing.DEFAULT);
		assertThat(settings.worker().capacity()).isEqualTo(new Resources(8, 128, 512 * 1_024));
		assertThat(SettingsReader.isForTarget(example("target.yaml"))).isTrue();
		assertThat(SettingsReader.isForTarget(example("entry.yaml"))).isFalse();
	}

	@Test
	void theExampleOfAPolicyGivesTheDefaults() throws IOException {
		assertThat(SettingsReader.readPolicy(example("policy.yaml")).get()).isEqualTo(SchedulerFeature.DEFAULTS);
	}

	@Test
	void aFeatureThatIsSwitchedOffIsLeftOut() {
		assertThat(SettingsReader.readPolicy("policy:\n  reserveRoom: false").get())
			.hasSize(SchedulerFeature.DEFAULTS.size() - 1)
			.doesNotContain(SchedulerFeature.RESERVE_ROOM);
	}

	@Test
	void anUnknownFeatureIsAFault() {
		assertThat(paths(SettingsReader.readPolicy("policy:\n  reserveRooms: false")))
			.containsExactly("policy.reserveRooms");
	}

	@Test
	void allFaultsAreReportedTogether() {
		String text = """
				name: entry 1
				zone: lulea-a
				http: localhost:8080
				peers: 10.0.0.7:70000
				table: 10.0.1.1:9000
				objects: [10.0.1.2]
				peer:
				  sharedKey: short
				  heartbeatTimeout: 2500
				limits:
				  maxBody: 8 parsecs
				  maxConections: 5
				tokens:
				  customers:
				    - token: the-same-token-twice
				      customer: norrbotten
				    - token: the-same-token-twice
				      customer: vasterbotten
				""";
		assertThat(paths(SettingsReader.readEntry(text))).containsExactlyInAnyOrder("name", "region", "http", "peers",
				"objects", "peer.sharedKey", "peer.heartbeatTimeout", "limits.maxBody", "limits.maxConections",
				"tokens.customers[1].token");
	}

	@Test
	void aFaultNamesTheFoundValueTheAllowedValuesAndTheRemedy() {
		List<SettingsFault> faults = SettingsReader.readTarget("slots: 0\nwroker: 1").getLeft();
		assertThat(faults).anySatisfy((fault) -> assertThat(fault.line())
			.isEqualTo("slots: found 0; allowed: a whole number from 1 to 10000; choose a value in this range"));
		assertThat(faults).anySatisfy((fault) -> assertThat(fault.line()).startsWith("wroker: found an unknown key")
			.contains("worker,")
			.endsWith("correct the key or take it out"));
	}

	@Test
	void secretsAreNotRepeated() {
		List<SettingsFault> faults = SettingsReader.readEntry("peer:\n  sharedKey: hushhush").getLeft();
		assertThat(faults.toString()).doesNotContain("hushhush");
	}

	@Test
	void contradictoryValuesAreFaults() throws IOException {
		String text = example("entry.yaml").replace("zoneFreshness: 3s", "zoneFreshness: 9s")
			.replace("heartbeatTimeout: 2500ms", "heartbeatTimeout: 600ms")
			.replace("maxBody: 8MiB", "maxBody: 9MiB");
		assertThat(paths(SettingsReader.readEntry(text))).containsExactlyInAnyOrder("timing.zoneFreshness",
				"peer.heartbeatTimeout", "limits.maxBody");
	}

	@Test
	void aDuplicateKeyIsReportedWithItsLine() {
		assertThat(paths(SettingsReader.readEntry("zone: a\nzone: b"))).singleElement().asString().startsWith("line 2");
	}

	@ParameterizedTest
	@CsvSource({ "500ms,500", "3s,3000", "1.5s,1500", "2m,120000", "1h,3600000" })
	void durationsHaveUnits(String text, long millis) {
		assertThat(Quantity.parseDuration(text)).contains(Duration.ofMillis(millis));
	}

	@ParameterizedTest
	@CsvSource({ "5", "s", "-3s", "3 parsecs", "1e9s", "99999999999999999999h", "9999999h", "1.0001ms" })
	void malformedDurationsAreRejected(String text) {
		assertThat(Quantity.parseDuration(text)).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "1B,1", "16GB,16000000000", "8MiB,8388608", "1.5KiB,1536" })
	void sizesHaveUnits(String text, long bytes) {
		assertThat(Quantity.parseBytes(text)).contains(bytes);
	}

	@Property(seed = "20261202", tries = 2_000)
	void anyTextGivesAResult(@ForAll String text) {
		assertThat(SettingsReader.readEntry(text)).isNotNull();
		assertThat(SettingsReader.readTarget(text).isLeft()).isTrue();
	}

	@Property(seed = "20261202", tries = 2_000)
	void anyChangedExampleGivesAResult(@ForAll @IntRange(max = 2_000) int position, @ForAll char replacement)
			throws IOException {
		StringBuilder text = new StringBuilder(example("entry.yaml"));
		text.setCharAt(position % text.length(), replacement);
		Either<List<SettingsFault>, EntrySettings> result = SettingsReader.readEntry(text.toString());
		assertThat(result.isRight() || !result.getLeft().isEmpty()).isTrue();
	}

	private static List<String> paths(Either<List<SettingsFault>, ?> result) {
		return result.getLeft().stream().map(SettingsFault::path).toList();
	}

	private static String example(String name) throws IOException {
		return Files.readString(EXAMPLES.resolve(name));
	}

}
