package org.almondmount.telemetry;

import java.time.Duration;
import java.util.Locale;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

/**
 * The metrics of one process. Thread-safe.
 * <p>
 * Counters are named after enum constants, so that every reason has a counter:
 * {@link #declare} registers a counter at zero for each constant before the first event.
 */
public final class Telemetry {

	private final MetricRegistry registry = new MetricRegistry();

	/**
	 * Registers a counter at zero for each constant of an enum.
	 * @param family name prefix of the counters, such as {@code refused}
	 * @param reasons the enum's class
	 */
	public void declare(String family, Class<? extends Enum<?>> reasons) {
		for (Enum<?> reason : reasons.getEnumConstants()) {
			this.registry.counter(name(family, reason));
		}
	}

	/**
	 * Counts one event.
	 * @param family name prefix of the counter
	 * @param reason the constant whose counter is incremented
	 */
	public void count(String family, Enum<?> reason) {
		this.registry.counter(name(family, reason)).inc();
	}

	/**
	 * Adds an amount to a counter.
	 * @param family name prefix of the counter
	 * @param reason the constant whose counter is incremented
	 * @param amount the amount to add
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
	 * Records a duration.
	 * @param name the timer's name, a constant
	 * @param time the duration
	 */
	public void time(String name, Duration time) {
		this.registry.timer(name).update(time);
	}

	/**
	 * Registers a gauge, whose value is read when metrics are requested.
	 * @param name the gauge's name, a constant
	 * @param value supplies the value; may be called on any thread
	 */
	public void gauge(String name, LongSupplier value) {
		Gauge<Long> gauge = value::getAsLong;
		this.registry.register(name, gauge);
	}

	/**
	 * Returns the underlying registry, for metric exporters.
	 * @return the registry
	 */
	public MetricRegistry registry() {
		return this.registry;
	}

	private static String name(String family, Enum<?> reason) {
		return family + "." + reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
