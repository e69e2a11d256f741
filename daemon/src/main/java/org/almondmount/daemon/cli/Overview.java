package org.almondmount.daemon.cli;

/**
 * The list of commands that {@code --help} shows.
 */
final class Overview {

	/** For each group its title, then its commands. */
	static final String[][] GROUPS = {
			{ "Daemons:", "entry --config FILE          take calls, route requests, schedule jobs",
					"target --config FILE         stand beside a worker and a service instance",
					"check-config FILE            tell all faults of a settings file" },
			{ "For callers:", "submit FILE                  submit a job from a YAML or JSON file",
					"job ID                       show a job, or wait for its ending",
					"cancel ID                    cancel a job", "call PATH                    send one request" },
			{ "For operators:", "status, customers, zones, workers, jobs, history",
					"plan zone-out ZONE           what would happen; nothing changes yet", "plan zone-in ZONE",
					"plan customer FILE           create or change a customer with its guarantees",
					"plan remove-customer NAME", "plan set NAME VALUE          change a setting of the configuration",
					"confirm PLAN                 make a plan so",
					"explain ID                   why a job waits or a request was refused",
					"trace ID LOG...              what became of a job, and why, from log files" } };

	private Overview() {
	}

}
