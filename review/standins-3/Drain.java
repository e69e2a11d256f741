import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send their next calls before the last ones are answered, as HTTP/1.1 allows,
 * while an entry is stopped by SIGTERM.
 */
final class Drain {

	private static final int WORKERS = 3;

	private static final int CHANNELS = 5;

	private static final int CALLS_AHEAD = 12;

	private static final double LOSS_SLACK_SECONDS = 0.2;

	private final Deployment deployment;

	private final Log log;

	private final AtomicInteger lastJob = new AtomicInteger();

	private final AtomicInteger answered = new AtomicInteger();

	/** Calls whose channel ended without their answer, later than the slack allows. */
	private final List<Sent> cut = Collections.synchronizedList(new ArrayList<>());

	private volatile boolean stopping;

	private record Sent(String job, double atSeconds, double endSeconds) {
	}

	private Drain(Deployment deployment, Log log) {
		this.deployment = deployment;
		this.log = log;
	}

	public static void main(String[] args) {
		Case.run(args[0], WORKERS, (deployment, log, trouble) -> new Drain(deployment, log).holds(trouble));
	}

	private boolean holds(boolean trouble) throws Exception {
		List<Thread> clients = new ArrayList<>();
		for (int number = 0; number < CHANNELS; number++) {
			Thread client = new Thread(this::callUntilClosed);
			client.start();
			clients.add(client);
		}
		Thread.sleep(3_000);
		Process entry = this.deployment.processes.get("entry-1");
		if (trouble) {
			this.log.write("SIGTERM to entry-1");
			entry.destroy();
			boolean ended = entry.waitFor(6, TimeUnit.SECONDS);
			this.log.write("entry-1 " + (ended ? "ended by itself" : "did not end within grace_s"));
		}
		this.stopping = true;
		for (Thread client : clients) {
			client.join(5_000);
		}
		Thread.sleep(5_000);
		this.log.write(this.answered.get() + " calls answered, " + this.cut.size() + " cut");
		long taken = 0;
		for (Sent call : this.cut) {
			boolean begun = Case.hasBegun(this.deployment, call.job());
			taken += begun ? 1 : 0;
			this.log.write((begun ? "BROKEN: " : "cut: ") + "POST " + call.job() + " sent whole at "
					+ format(call.atSeconds()) + ", channel ended without an answer at " + format(call.endSeconds())
					+ (begun ? "; the job was accepted and has run" : ""));
		}
		return taken == 0;
	}

	private static String format(double seconds) {
		return String.format(Locale.ROOT, "%.3f", seconds);
	}

	private void callUntilClosed() {
		Deque<Sent> open = new ArrayDeque<>();
		try (Socket socket = new Socket()) {
			socket.setTcpNoDelay(true);
			socket.connect(new InetSocketAddress(this.deployment.entryIps.get(0), 8521), 500);
			OutputStream out = socket.getOutputStream();
			InputStream in = new BufferedInputStream(socket.getInputStream());
			boolean lastAnswer = false;
			while (!open.isEmpty() || !this.stopping) {
				while (!lastAnswer && !this.stopping && open.size() < CALLS_AHEAD) {
					open.add(send(out));
				}
				String head = readHead(in);
				if (head == null) {
					break;
				}
				in.readNBytes(contentLength(head));
				lastAnswer |= head.toLowerCase(Locale.ROOT).contains("connection: close");
				this.log.write("POST " + open.remove().job() + " -> " + head.substring(0, head.indexOf('\r'))
						+ (lastAnswer ? ", connection: close" : ""));
				this.answered.incrementAndGet();
			}
		}
		catch (IOException ex) {
			this.log.write("channel ended: " + ex.getMessage());
		}
		double now = this.log.seconds();
		for (Sent call : open) {
			if (now - call.atSeconds() > LOSS_SLACK_SECONDS) {
				this.cut.add(new Sent(call.job(), call.atSeconds(), now));
			}
		}
	}

	private Sent send(OutputStream out) throws IOException {
		String id = Case.jobId(this.lastJob.incrementAndGet());
		String body = Case.job(50, "");
		String call = "POST /a/" + id + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Api-Key: " + Deployment.KEY
				+ "\r\nX-Remaining-Milliseconds: 3000\r\nContent-Type: application/json\r\nContent-Length: "
				+ body.length() + "\r\n\r\n" + body;
		out.write(call.getBytes(StandardCharsets.US_ASCII));
		this.log.write("POST " + id + " sent to entry-1");
		return new Sent(id, this.log.seconds(), 0);
	}

	private static int contentLength(String head) {
		for (String line : head.split("\r\n")) {
			if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
				return Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
			}
		}
		return 0;
	}

	/** Returns the head of the next answer, or null if the channel has ended. */
	private static String readHead(InputStream in) throws IOException {
		StringBuilder head = new StringBuilder();
		for (int next = in.read(); next >= 0; next = in.read()) {
			head.append((char) next);
			if (head.length() >= 4 && head.substring(head.length() - 4).equals("\r\n\r\n")) {
				return head.toString();
			}
		}
		return null;
	}

}
