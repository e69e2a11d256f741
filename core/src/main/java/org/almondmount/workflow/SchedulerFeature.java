package org.almondmount.workflow;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

/**
 * Optional features of the workflow scheduler, which let more work complete in time. Each
 * can be disabled separately to see its effect on an installation. The scheduler's
 * promises, such as guarantees and complete gangs, hold without any of them.
 * <p>
 * An enabled feature is active only while the configuration of operators calls for it, as
 * its {@link FeatureTrigger} decides.
 */
public enum SchedulerFeature {

	/** Stores checkpoints within about a second, so that they survive a power loss. */
	KEEP_CHECKPOINTS,

	/** Learns run times from completed tasks instead of using callers' estimates. */
	LEARN_RUN_TIMES,

	/** Places jobs that can no longer be in time behind those that still can. */
	LATE_WAITS_BEHIND,

	/** Reserves capacity for the first waiting units that do not fit. */
	RESERVE_ROOM,

	/** Preempts work with slack for urgent work that would otherwise be late. */
	GIVE_WAY_TO_URGENT,

	/** Does not preempt for urgent work that will find free capacity in time. */
	WAIT_BEFORE_GIVING_WAY,

	/** Moves runs away from a draining worker before it leaves. */
	MOVE_FROM_LEAVING,

	/** Stops a run that makes no progress and restarts its task elsewhere. */
	STOP_STANDSTILL,

	/** Does not use a worker for a while after several jobs failed on it in a row. */
	REST_SUSPICIOUS,

	/** Places units by best fit instead of first fit. */
	PACK_TIGHTLY,

	/** Lets a gang that is slow across racks wait for capacity in one rack. */
	GANG_IN_ONE_RACK,

	/** Starts a task that may crash its worker where a crash affects little else. */
	SET_SUSPECTS_APART,

	/**
	 * Starts the attempts of a job on different workers, and the last on a proven one.
	 */
	SPREAD_ATTEMPTS(FeatureTrigger.SPARE_ATTEMPTS),

	/** Blames the worker for a run that fails right after its start. */
	BLAME_EARLY_FAILURES(FeatureTrigger.SPARE_ATTEMPTS),

	/**
	 * Keeps the burst of one customer from delaying the jobs of the others. Operators
	 * decide whether a customer above its entitlement shall wait, so it is disabled by
	 * default.
	 */
	SHARE_BETWEEN_CUSTOMERS(FeatureTrigger.UNEVEN_GUARANTEES, false),

	/**
	 * Learns the speeds of workers, and keeps fast ones for jobs with tight objectives.
	 */
	PREFER_FAST_WORKERS(FeatureTrigger.TIGHT_OBJECTIVES);

	/** All features. */
	public static final Set<SchedulerFeature> ALL = Collections.unmodifiableSet(EnumSet.allOf(SchedulerFeature.class));

	/** The features that are enabled unless settings say otherwise. */
	public static final Set<SchedulerFeature> DEFAULTS = Collections.unmodifiableSet(defaults());

	private final FeatureTrigger trigger;

	private final boolean enabledByDefault;

	SchedulerFeature() {
		this(FeatureTrigger.ALWAYS);
	}

	SchedulerFeature(FeatureTrigger trigger) {
		this(trigger, true);
	}

	SchedulerFeature(FeatureTrigger trigger, boolean enabled) {
		this.trigger = trigger;
		this.enabledByDefault = enabled;
	}

	private static Set<SchedulerFeature> defaults() {
		EnumSet<SchedulerFeature> defaults = EnumSet.allOf(SchedulerFeature.class);
		defaults.removeIf((feature) -> !feature.enabledByDefault);
		return defaults;
	}

	/**
	 * Returns whether the feature is enabled unless settings say otherwise.
	 * @return whether it is one of the defaults
	 */
	public boolean enabledByDefault() {
		return this.enabledByDefault;
	}

	/**
	 * Returns what the configuration must hold for the feature to be active.
	 * @return the trigger
	 */
	public FeatureTrigger trigger() {
		return this.trigger;
	}

	/**
	 * Returns the name of the feature in settings.
	 * @return the constant's name in camel case
	 */
	public String key() {
		StringBuilder key = new StringBuilder();
		for (String word : name().toLowerCase(Locale.ROOT).split("_")) {
			key.append(key.isEmpty() ? word : Character.toUpperCase(word.charAt(0)) + word.substring(1));
		}
		return key.toString();
	}

}
