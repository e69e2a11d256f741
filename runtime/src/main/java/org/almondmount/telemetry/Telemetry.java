package org.almondmount.telemetry;

import java.time.Duration;
import java.util.Locale;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

/**
 * The metrics of one process. Thread-safe.
 * <p>
 * Counters are named after enum constants, so that a reason cannot exist without its
 * counter: {@link #declare} registers all constants at zero before the first event.
 */
public final class Telemetry {

	private final MetricRegistry registry = new MetricRegistry();

	/**
	 * Registers a counter at zero for each constant.
	 * @param family what is counted, such as {@code refused}
	 * @param reasons the enum's class
	 */
	public void declare(String family, Class<? extends Enum<?>> reasons) {
		for (Enum<?> reason : reasons.getEnumConstants()) {
			this.registry.counter(name(family, reason));
		}
	}

	/**
	 * Counts one event.
	 * @param family what is counted
	 * @param reason why
	 */
	public void count(String family, Enum<?> reason) {
		this.registry.counter(name(family, reason)).inc();
	}

	/**
	 * Counts an amount.
	 * @param family what is counted
	 * @param reason why
	 * @param amount how much
	 */
	public void count(String family, Enum<?> reason, long amount) {
		this.registry.counter(name(family, reason)).inc(amount);
	}

	/**
	 * Counts one event that has no reason.
	 * @param name the counter's name, a constant
	 */
	public void count(String name) {
		this.registry.counter(name).inc();
	}

	/**
	 * Records how long something took.
	 * @param name the timer's name, a constant
	 * @param time how long
	 */
	public void time(String name, Duration time) {
		this.registry.timer(name).update(time);
	}

	/**
	 * Registers a value that is read when metrics are asked for.
	 * @param name the gauge's name, a constant
	 * @param value reads it; called on any thread
	 */
	public void gauge(String name, LongSupplier value) {
		Gauge<Long> gauge = value::getAsLong;
		this.registry.register(name, gauge);
	}

	/**
	 * The metrics behind this, for those who export them.
	 * @return the registry
	 */
	public MetricRegistry registry() {
		return this.registry;
	}

	private static String name(String family, Enum<?> reason) {
		return family + "." + reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
