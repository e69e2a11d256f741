package org.almondmount.daemon.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import org.almondmount.http.HttpAnswer;
import org.almondmount.http.HttpCall;
import org.almondmount.http.HttpFailure;
import org.almondmount.http.impl.NettyHttpClient;
import org.almondmount.net.IoThreads;
import org.almondmount.settings.util.Quantity;
import org.kohsuke.args4j.Option;

/**
 * A command that calls an entry over HTTP.
 */
abstract class ServerCommand extends Command {

	static final ObjectMapper JSON = new ObjectMapper();

	private static final ObjectMapper YAML = new ObjectMapper(new YAMLFactory());

	private static final Duration TIMEOUT = Duration.ofSeconds(30);

	private static final int LARGEST_ANSWER = 64 << 20;

	private static final int FIRST_REFUSAL = 400;

	private static final String DEFAULT_SERVER = "127.0.0.1:8080";

	@Option(name = "--server", metaVar = "HOST:PORT",
			usage = "the entry or the balancer before entries; else ALMONDMOUNT_SERVER, else " + DEFAULT_SERVER)
	private String server;

	@Option(name = "--token", metaVar = "TOKEN", usage = "the caller's or operator's token; else ALMONDMOUNT_TOKEN")
	private String token;

	@Option(name = "--json", usage = "write the answer as JSON, for scripts")
	private boolean json;

	@Override
	final ExitStatus run(Console console) {
		try (IoThreads io = new IoThreads("cli", 1);
				NettyHttpClient client = new NettyHttpClient(io, 1, LARGEST_ANSWER)) {
			return run(console, client);
		}
		catch (UncheckedIOException ex) {
			console.err().println(ex.getMessage());
			return ExitStatus.FAILED;
		}
	}

	/**
	 * Does it.
	 * @param console where to write
	 * @param client sends calls
	 * @return how it ended
	 */
	abstract ExitStatus run(Console console, NettyHttpClient client);

	final boolean asJson() {
		return this.json;
	}

	final HttpAnswer send(Console console, NettyHttpClient client, String method, String path, byte[] body,
			Map<String, String> further) {
		return send(console, client, method, path, body, further, TIMEOUT);
	}

	/**
	 * Sends a call and tells the operator why if there is no answer or a refusal.
	 * @param console where to write
	 * @param client sends it
	 * @param method the method
	 * @param path the path
	 * @param body the body, maybe empty
	 * @param further headers besides the token
	 * @param timeout for the whole exchange
	 * @return the answer, or null where the refusal or failure has been told
	 */
	final HttpAnswer send(Console console, NettyHttpClient client, String method, String path, byte[] body,
			Map<String, String> further, Duration timeout) {
		Map<String, String> headers = new LinkedHashMap<>(further);
		String bearer = orElse(this.token, "ALMONDMOUNT_TOKEN", "");
		if (!bearer.isEmpty()) {
			headers.put("authorization", "Bearer " + bearer);
		}
		try {
			HttpAnswer answer = client.send(address(), new HttpCall(method, path, headers, body), timeout).join();
			if (answer.status() >= FIRST_REFUSAL) {
				new RefusalText(answer).print(console, this.json);
				return null;
			}
			return answer;
		}
		catch (CompletionException ex) {
			failed(console, ex.getCause());
			return null;
		}
	}

	/**
	 * Writes an answer's document, as JSON or for people.
	 * @param console where to write
	 * @param answer the answer
	 * @return done
	 */
	final ExitStatus show(Console console, HttpAnswer answer) {
		JsonNode document = document(answer);
		console.out().println(this.json ? document.toPrettyString() : DocumentText.of(document));
		return ExitStatus.DONE;
	}

	static JsonNode document(HttpAnswer answer) {
		try {
			return JSON.readTree(answer.body());
		}
		catch (IOException ex) {
			throw new UncheckedIOException("the answer is no JSON; see that --server is an entry", ex);
		}
	}

	static JsonNode readFile(String file) {
		try {
			JsonNode document = YAML.readTree(Files.readString(Path.of(file)));
			if (document == null || !document.isObject()) {
				throw new WrongUsageException(file + ": is no mapping; write YAML or JSON as in config/examples");
			}
			return document;
		}
		catch (JsonProcessingException ex) {
			throw new WrongUsageException(file + ": " + ex.getMessage());
		}
		catch (IOException ex) {
			throw new WrongUsageException(file + ": can't be read; see its name and permissions");
		}
	}

	static byte[] bytes(JsonNode document) {
		try {
			return JSON.writeValueAsBytes(document);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static Duration duration(String option, String text) {
		return Quantity.parseDuration(text)
			.orElseThrow(() -> new WrongUsageException(option + " is " + text + "; give " + Quantity.DURATION_FORMAT));
	}

	private static void failed(Console console, Throwable cause) {
		console.err().println(Console.printable(String.valueOf(cause.getMessage())));
		if (cause instanceof HttpFailure failure) {
			console.err()
				.println(failure.mayHaveArrived() ? "The call may have arrived; look before you repeat it."
						: "Nothing was sent; see --server and that an entry is running.");
		}
	}

	private InetSocketAddress address() {
		String place = orElse(this.server, "ALMONDMOUNT_SERVER", DEFAULT_SERVER);
		int colon = place.lastIndexOf(':');
		try {
			return new InetSocketAddress(InetAddress.getByName(place.substring(0, colon)),
					Integer.parseInt(place.substring(colon + 1)));
		}
		catch (IndexOutOfBoundsException | IllegalArgumentException | UnknownHostException ex) {
			throw new WrongUsageException("--server is " + place + "; give HOST:PORT");
		}
	}

	private static String orElse(String option, String variable, String otherwise) {
		if (option != null) {
			return option;
		}
		String value = System.getenv(variable);
		return (value != null) ? value : otherwise;
	}

}
