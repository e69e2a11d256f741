package org.almondmount.telemetry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.almondmount.http.HttpCloseReason;
import org.almondmount.model.RefusalReason;
import org.almondmount.requests.RetryReason;
import org.almondmount.services.TableOutcome;
import org.almondmount.services.TableRetryReason;
import org.almondmount.wire.CloseReason;
import org.almondmount.wire.SendRefusal;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against reasons and settings that are missing from the operators' page, as after
 * a new enum constant or setting without a documentation entry.
 */
class OperatorsPageTests {

	private static final Path PAGE = Path.of("..", "docs", "OPERATORS.md");

	@Test
	void everyRefusalIsListedWithItsStatusAndRemedy() throws IOException {
		String page = Files.readString(PAGE);
		for (RefusalReason reason : RefusalReason.values()) {
			String row = "| `" + reason.externalName() + "` | " + reason.status() + " | " + reason.remedy() + " |";
			assertThat(page).contains(row);
		}
	}

	@Test
	void everyRetryReasonIsListed() throws IOException {
		String page = Files.readString(PAGE);
		for (RetryReason reason : RetryReason.values()) {
			assertThat(page).contains("| `" + reason.externalName() + "` |");
		}
	}

	@Test
	void everyCloseReasonIsListed() throws IOException {
		String page = Files.readString(PAGE);
		for (CloseReason reason : CloseReason.values()) {
			assertThat(page).contains("| `" + reason.externalName() + "` |");
		}
	}

	@Test
	void everyRuntimeReasonIsListed() throws IOException {
		String page = Files.readString(PAGE);
		List<Enum<?>> reasons = new ArrayList<>(List.of(HttpCloseReason.values()));
		reasons.addAll(List.of(TableRetryReason.values()));
		reasons.addAll(List.of(TableOutcome.values()));
		reasons.addAll(List.of(SendRefusal.values()));
		for (Enum<?> reason : reasons) {
			assertThat(page).contains("`" + reason.name().toLowerCase(Locale.ROOT).replace('_', '-') + "`");
		}
	}

	@Test
	void everySettingOfTheExamplesIsListed() throws IOException {
		String page = Files.readString(PAGE);
		for (String example : List.of("entry.yaml", "target.yaml")) {
			for (String line : Files.readAllLines(Path.of("..", "config", "examples", example))) {
				String key = line.replaceAll("[:#].*", "").replaceAll("[- ]", "");
				if (!key.isEmpty()) {
					assertThat(page).containsPattern("`([a-z.]+\\.)?" + key + "(`|\\.|\\[)");
				}
			}
		}
	}

}
