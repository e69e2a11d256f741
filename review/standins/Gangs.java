import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Lets the members of a gang work together on all minions: they work from the moment at which all of them are
 * present, and end `done` together. On more than one rack they take `remote_factor` times as long.
 */
final class Gangs {

	private static final long GANG_TIMEOUT_MILLIS = 3_000;

	private static final int REMOTE_FACTOR = 3;

	private final Map<String, Integer> sizes = new HashMap<>();

	private final Map<String, Map<String, Member>> runs = new HashMap<>();

	private final Set<String> complete = new HashSet<>();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor((work) -> {
		Thread thread = new Thread(work, "gangs");
		thread.setDaemon(true);
		return thread;
	});

	/** Says how many tasks a gang of this job has, in step 0. */
	synchronized void define(String job, int size) {
		this.sizes.put(job + ".0.0", size);
	}

	synchronized boolean contains(String task) {
		return this.sizes.containsKey(step(task));
	}

	void join(String task, int run, String rack, long workMillis, End end) {
		this.timer.execute(() -> addMember(task, run, rack, workMillis, end));
		this.timer.schedule(() -> leaveAlone(task, run), GANG_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	/** A member ended otherwise than `done`: the others end too. */
	void leave(String task, int run) {
		this.timer.execute(() -> {
			Map<String, Member> members = this.runs.remove(step(task) + "/" + run);
			if (members != null) {
				members.remove(task);
				members.forEach((other, member) -> member.end.apply(other, run, "broken"));
			}
		});
	}

	private void addMember(String task, int run, String rack, long workMillis, End end) {
		String key = step(task) + "/" + run;
		Map<String, Member> members = this.runs.computeIfAbsent(key, (name) -> new LinkedHashMap<>());
		members.put(task, new Member(rack, end));
		if (members.size() < this.sizes.get(step(task))) {
			return;
		}
		this.complete.add(key);
		boolean oneRack = members.values().stream().map(Member::rack).distinct().count() == 1;
		this.timer.schedule(() -> endDone(key, run), oneRack ? workMillis : REMOTE_FACTOR * workMillis,
				TimeUnit.MILLISECONDS);
	}

	private void endDone(String key, int run) {
		Map<String, Member> members = this.runs.remove(key);
		if (members != null) {
			members.forEach((task, member) -> member.end.apply(task, run, "done"));
		}
	}

	private void leaveAlone(String task, int run) {
		String key = step(task) + "/" + run;
		Map<String, Member> members = this.runs.get(key);
		if (members != null && !this.complete.contains(key) && members.containsKey(task)) {
			members.remove(task).end.apply(task, run, "alone");
		}
	}

	private static String step(String task) {
		return task.substring(0, task.lastIndexOf('.'));
	}

	interface End {

		void apply(String task, int run, String how);

	}

	private record Member(String rack, End end) {
	}

}
