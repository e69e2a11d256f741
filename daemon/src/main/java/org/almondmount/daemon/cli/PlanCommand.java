package org.almondmount.daemon.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.impl.NettyHttpClient;
import org.kohsuke.args4j.Argument;

/**
 * States an intent and shows the plan for it.
 */
public final class PlanCommand extends ServerCommand {

	private static final String INTENT = "intent";

	@Argument(index = 0, metaVar = "INTENT", required = true,
			usage = "zone-out ZONE, zone-in ZONE, customer FILE, remove-customer NAME or set NAME VALUE")
	private String intent;

	@Argument(index = 1, metaVar = "WORDS", required = true, multiValued = true, usage = "what the intent is about")
	private List<String> words = new ArrayList<>();

	@Override
	String purpose() {
		return "Shows what an intent would do. Nothing changes until the plan is confirmed.";
	}

	@Override
	ExitStatus run(Console console, NettyHttpClient client) {
		HttpAnswer answer = send(console, client, "POST", "/v1/plans", bytes(document()), Map.of());
		if (answer == null) {
			return ExitStatus.FAILED;
		}
		show(console, answer);
		if (!asJson()) {
			String plan = Console.printable(document(answer).path("plan").asText());
			console.out().println("Nothing has changed yet. To make it so: almondmount confirm " + plan);
		}
		return ExitStatus.DONE;
	}

	private ObjectNode document() {
		ObjectNode document = JSON.createObjectNode();
		switch (this.intent) {
			case "zone-out", "zone-in" -> document.put(INTENT, this.intent).put("zone", word(1, 0));
			case "remove-customer" -> document.put(INTENT, this.intent).put("customer", word(1, 0));
			case "set" -> document.put(INTENT, "set-option").put("name", word(2, 0)).put("value", word(2, 1));
			case "customer" -> {
				document.put(INTENT, "put-customer");
				document.setAll((ObjectNode) readFile(word(1, 0)));
			}
			default -> throw new WrongUsageException(
					this.intent + " is no intent; give zone-out, zone-in, customer, remove-customer or set");
		}
		return document;
	}

	private String word(int count, int index) {
		if (this.words.size() != count) {
			throw new WrongUsageException(this.intent + " needs " + count + ((count == 1) ? " word" : " words")
					+ " after it, and has " + this.words.size());
		}
		return this.words.get(index);
	}

}
