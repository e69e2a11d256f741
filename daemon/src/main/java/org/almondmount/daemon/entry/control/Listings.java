package org.almondmount.daemon.entry.control;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import org.almondmount.daemon.entry.json.DurationText;
import org.almondmount.daemon.entry.store.Rows.HistoryRow;
import org.almondmount.jobs.Assignment;
import org.almondmount.jobs.JobView;
import org.almondmount.jobs.WorkerView;
import org.almondmount.model.Configuration;
import org.almondmount.model.Customer;
import org.almondmount.model.GangShape;
import org.almondmount.model.GuaranteedShape;
import org.almondmount.model.JobSpec;
import org.almondmount.model.Resources;
import org.almondmount.model.ZoneId;
import org.almondmount.plan.Intent;
import org.almondmount.plan.Plan;

/**
 * The documents that answer job and operator calls, as ordered fields.
 */
final class Listings {

	private Listings() {
	}

	/**
	 * A document of one field.
	 * @param name the field
	 * @param value its value
	 * @return the document
	 */
	static Map<String, Object> document(String name, Object value) {
		Map<String, Object> document = new LinkedHashMap<>();
		document.put(name, value);
		return document;
	}

	/**
	 * A document of two fields, in this order.
	 * @param first the first field
	 * @param firstValue its value
	 * @param second the second field
	 * @param secondValue its value
	 * @return the document
	 */
	static Map<String, Object> document(String first, Object firstValue, String second, Object secondValue) {
		Map<String, Object> document = document(first, firstValue);
		document.put(second, secondValue);
		return document;
	}

	/**
	 * A job that the scheduler knows.
	 * @param view the job
	 * @return its document
	 */
	static Map<String, Object> job(JobView view) {
		Map<String, Object> document = spec(view.job().value(), view.spec());
		document.put("phase", word(view.phase()));
		document.put("attempt", view.attempt());
		document.put("why", view.explanation());
		document.put("placement", placement(view.placement()));
		return document;
	}

	/**
	 * A job as the table has it.
	 * @param job the job
	 * @return its document
	 */
	static Map<String, Object> job(JobRecord job) {
		Map<String, Object> document = spec(job.id().value(), job.spec());
		document.put("phase", job.isEnded() ? "ended" : "waiting");
		document.put("attempt", job.attempt());
		if (job.isEnded()) {
			document.put("ending", word(job.ending()));
		}
		document.put("why", job.why());
		document.put("placement", placement(job.placement()));
		return document;
	}

	static Map<String, Object> plan(Plan plan) {
		Map<String, Object> document = new LinkedHashMap<>();
		document.put("plan", plan.id());
		document.put("intent", sentence(plan.intent()));
		document.put("againstRevision", plan.againstRevision());
		document.put("moves", plan.effects().moves());
		document.put("stops", plan.effects().stops());
		document.put("guaranteesAtRisk", plan.effects().guaranteesAtRisk());
		document.put("remarks", plan.effects().remarks());
		return document;
	}

	/**
	 * An intent in words.
	 * @param intent the intent
	 * @return a clause
	 */
	static String sentence(Intent intent) {
		if (intent instanceof Intent.SetZone zone) {
			return "take availability zone " + zone.zone() + (zone.state().acceptsWork() ? " back into" : " out of")
					+ " service";
		}
		if (intent instanceof Intent.PutCustomer put) {
			return "create or change customer " + put.customer().id() + " with weight " + put.customer().weight()
					+ " and " + put.customer().guarantees().size() + " guaranteed shapes";
		}
		if (intent instanceof Intent.RemoveCustomer remove) {
			return "remove customer " + remove.customer();
		}
		Intent.SetOption option = (Intent.SetOption) intent;
		return "set option " + option.name() + " to " + option.value();
	}

	static List<Map<String, Object>> customers(Configuration configuration) {
		List<Map<String, Object>> documents = new ArrayList<>();
		for (Customer customer : new TreeMap<>(configuration.customers()).values()) {
			Map<String, Object> document = new LinkedHashMap<>();
			document.put("customer", customer.id().value());
			document.put("weight", customer.weight());
			document.put("guarantees", customer.guarantees().stream().map(Listings::guarantee).toList());
			documents.add(document);
		}
		return documents;
	}

	static List<Map<String, Object>> zones(Configuration configuration, Map<ZoneId, Integer> workers) {
		TreeSet<ZoneId> names = new TreeSet<>(configuration.zones().keySet());
		names.addAll(workers.keySet());
		List<Map<String, Object>> documents = new ArrayList<>();
		for (ZoneId zone : names) {
			Map<String, Object> document = new LinkedHashMap<>();
			document.put("zone", zone.value());
			document.put("state", word(configuration.zone(zone)));
			document.put("workers", workers.getOrDefault(zone, 0));
			documents.add(document);
		}
		return documents;
	}

	static Map<String, Object> worker(WorkerView view) {
		Map<String, Object> document = new LinkedHashMap<>();
		document.put("worker", view.worker().id().value());
		document.put("zone", view.worker().zone().value());
		document.put("rack", view.worker().rack().value());
		document.put("state", view.state());
		document.put("tasks", view.tasks());
		document.put("free", resources(view.free()));
		document.put("capacity", resources(view.worker().capacity()));
		return document;
	}

	static Map<String, Object> history(HistoryRow row) {
		Map<String, Object> document = new LinkedHashMap<>();
		document.put("at", Instant.ofEpochMilli(row.at()).toString());
		document.put("subject", row.subject());
		document.put("what", row.what());
		document.put("by", row.by());
		return document;
	}

	static String word(Enum<?> constant) {
		return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	private static Map<String, Object> spec(String id, JobSpec spec) {
		Map<String, Object> document = new LinkedHashMap<>();
		document.put("job", id);
		document.put("customer", spec.customer().value());
		document.put("class", spec.jobClass());
		document.put("urgency", word(spec.urgency()));
		document.put("repeatable", spec.repeatable());
		document.put("runTime", DurationText.write(spec.declaredRunTime()));
		document.putAll(shape(spec.shape()));
		return document;
	}

	private static Map<String, Object> guarantee(GuaranteedShape guarantee) {
		Map<String, Object> document = new LinkedHashMap<>();
		document.put("gangs", guarantee.gangs());
		document.putAll(shape(guarantee.shape()));
		return document;
	}

	private static Map<String, Object> shape(GangShape shape) {
		Map<String, Object> document = new LinkedHashMap<>();
		document.put("members", shape.members());
		document.putAll(resources(shape.perMember()));
		document.put("adjacency", word(shape.adjacency()));
		return document;
	}

	private static Map<String, Object> resources(Resources amount) {
		Map<String, Object> document = new LinkedHashMap<>();
		document.put("accelerators", amount.accelerators());
		document.put("cores", amount.cores());
		document.put("memory", amount.memoryMb() + "MiB");
		return document;
	}

	private static List<Map<String, Object>> placement(List<Assignment> placement) {
		List<Map<String, Object>> documents = new ArrayList<>();
		for (Assignment each : placement) {
			Map<String, Object> document = new LinkedHashMap<>();
			document.put("member", each.member());
			document.put("worker", each.worker().value());
			documents.add(document);
		}
		return documents;
	}

}
