package org.almondmount.telemetry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;

/**
 * Exports the metrics as one document. Counters and gauges are numbers; timers and
 * histograms have a count, mean, quantiles and maximum. Times are in milliseconds.
 * Thread-safe.
 */
public final class MetricsDocument {

	private static final double NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

	private final MetricRegistry registry;

	public MetricsDocument(MetricRegistry registry) {
		this.registry = registry;
	}

	/**
	 * Reads the current values of all metrics.
	 * @return values by name, sorted by name
	 */
	public Map<String, Object> read() {
		Map<String, Object> document = new TreeMap<>();
		this.registry.getMetrics().forEach((name, metric) -> document.put(name, value(metric)));
		return document;
	}

	private static Object value(Metric metric) {
		if (metric instanceof Gauge<?> gauge) {
			return gauge.getValue();
		}
		if (metric instanceof Sampling sampling) {
			return distribution(metric, sampling.getSnapshot());
		}
		return (metric instanceof Counting counting) ? counting.getCount() : 0;
	}

	private static Map<String, Object> distribution(Metric metric, Snapshot snapshot) {
		double divisor = (metric instanceof Timer) ? NANOS_PER_MILLI : 1;
		Map<String, Object> values = new LinkedHashMap<>();
		values.put("count", (metric instanceof Counting counting) ? counting.getCount() : 0);
		values.put("mean", snapshot.getMean() / divisor);
		values.put("p50", snapshot.getMedian() / divisor);
		values.put("p99", snapshot.get99thPercentile() / divisor);
		values.put("p999", snapshot.get999thPercentile() / divisor);
		values.put("max", snapshot.getMax() / divisor);
		return values;
	}

}
