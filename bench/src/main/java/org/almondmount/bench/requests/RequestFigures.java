package org.almondmount.bench.requests;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.almondmount.bench.measure.Percentile;
import org.almondmount.model.RefusalReason;
import org.almondmount.model.RunState;

/**
 * The figures of one request replay. Immutable.
 * <p>
 * Latency is the time from arrival to the ending, over requests that were answered and
 * that arrived while a target was frozen, or in the same time of the healthy run. The
 * retry share is the number of retries over the number of requests, both in that time.
 * Slots exceeded is the number of attempts that an instance was given while all its slots
 * were in use. Wrong endings are requests without exactly one ending, requests that were
 * told 'not run' and yet reached an instance at any time, and requests that may not be
 * repeated and reached an instance more than once.
 *
 * @param requests requests in the time that is measured
 * @param answered those that were answered
 * @param p50 median latency in milliseconds
 * @param p99 latency in milliseconds
 * @param p999 latency in milliseconds
 * @param refusedNotRun requests refused with the certainty that they did not run
 * @param mayHaveRun requests refused without that certainty
 * @param retryShare retries over requests
 * @param slotsExceeded attempts beyond the slots
 * @param wrongEndings endings that were not true
 * @param reasons how often each reason was given for a refusal
 */
public record RequestFigures(int requests, int answered, double p50, double p99, double p999, int refusedNotRun,
		int mayHaveRun, double retryShare, int slotsExceeded, int wrongEndings, Map<RefusalReason, Integer> reasons) {

	private static final double P50 = 0.5;

	private static final double P99 = 0.99;

	private static final double P999 = 0.999;

	static RequestFigures of(Collection<RequestTrace> traces, long from, long to, int retries, int slotsExceeded) {
		List<Double> latencies = new ArrayList<>();
		int requests = 0;
		int notRun = 0;
		int mayHaveRun = 0;
		int wrong = 0;
		Map<RefusalReason, Integer> reasons = new EnumMap<>(RefusalReason.class);
		for (RequestTrace trace : traces) {
			wrong += isWrong(trace) ? 1 : 0;
			if (trace.arrivedAt < from || trace.arrivedAt >= to) {
				continue;
			}
			requests++;
			trace.refusal().ifPresent((refusal) -> reasons.merge(refusal.reason(), 1, Integer::sum));
			if (trace.isDelivered()) {
				latencies.add((double) trace.latency());
			}
			else if (trace.refusal().isPresent() && trace.refusal().get().runState() == RunState.NOT_RUN) {
				notRun++;
			}
			else {
				mayHaveRun++;
			}
		}
		return new RequestFigures(requests, latencies.size(), Percentile.of(latencies, P50),
				Percentile.of(latencies, P99), Percentile.of(latencies, P999), notRun, mayHaveRun,
				(double) retries / Math.max(1, requests), slotsExceeded, wrong, reasons);
	}

	private static boolean isWrong(RequestTrace trace) {
		if (trace.endings() != 1) {
			return true;
		}
		boolean toldNotRun = trace.refusal().isPresent() && trace.refusal().get().runState() == RunState.NOT_RUN;
		return (toldNotRun && trace.runs() > 0) || (!trace.idempotent && trace.runs() > 1);
	}

}
