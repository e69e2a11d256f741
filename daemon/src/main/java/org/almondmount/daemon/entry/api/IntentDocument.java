package org.almondmount.daemon.entry.api;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.almondmount.daemon.entry.json.DocumentException;
import org.almondmount.model.Customer;
import org.almondmount.model.CustomerId;
import org.almondmount.model.GuaranteedShape;
import org.almondmount.model.InvalidValueException;
import org.almondmount.model.ZoneId;
import org.almondmount.model.ZoneState;
import org.almondmount.plan.Intent;

/**
 * An intent as an operator sends it. Immutable.
 *
 * @param intent {@code zone-out}, {@code zone-in}, {@code put-customer},
 * {@code remove-customer} or {@code set-option}
 * @param zone the zone, for the first two
 * @param customer the customer, for the next two
 * @param weight its share beside other customers; 1
 * @param guarantees the shapes that it can always reclaim; none
 * @param name the option's name
 * @param value the option's value
 */
public record IntentDocument(String intent, String zone, String customer, Double weight,
		List<GuaranteeDocument> guarantees, String name, String value) {

	private static final int LONGEST_OPTION = 200;

	/**
	 * The intent that the document describes.
	 * @return the intent
	 * @throws DocumentException naming the field that is wrong
	 */
	public Intent read() {
		String kind = required("$.intent", this.intent);
		try {
			return switch (kind) {
				case "zone-out" -> new Intent.SetZone(new ZoneId(required("$.zone", this.zone)), ZoneState.OUT);
				case "zone-in" -> new Intent.SetZone(new ZoneId(required("$.zone", this.zone)), ZoneState.IN);
				case "put-customer" -> new Intent.PutCustomer(newCustomer());
				case "remove-customer" ->
					new Intent.RemoveCustomer(new CustomerId(required("$.customer", this.customer)));
				case "set-option" -> new Intent.SetOption(option("$.name", this.name), option("$.value", this.value));
				default -> throw new DocumentException("$.intent",
						"is not one of zone-out, zone-in, put-customer, remove-customer, set-option");
			};
		}
		catch (InvalidValueException ex) {
			throw new DocumentException("$", ex.getMessage());
		}
	}

	private Customer newCustomer() {
		List<GuaranteedShape> shapes = new ArrayList<>();
		List<GuaranteeDocument> wanted = (this.guarantees != null) ? this.guarantees : List.of();
		for (int i = 0; i < wanted.size(); i++) {
			shapes.add(wanted.get(i).read("$.guarantees[" + i + "]"));
		}
		return new Customer(new CustomerId(required("$.customer", this.customer)),
				(this.weight != null) ? this.weight : 1.0, shapes);
	}

	private static String option(String path, String text) {
		if (required(path, text).length() > LONGEST_OPTION) {
			throw new DocumentException(path, "is longer than " + LONGEST_OPTION + " characters; shorten it");
		}
		return text;
	}

	private static String required(String path, String text) {
		if (text == null || text.isEmpty()) {
			throw new DocumentException(path, "is missing; this intent needs it");
		}
		return text;
	}

	/**
	 * A guaranteed shape as an operator sends it. Immutable.
	 *
	 * @param gangs how many gangs; 1
	 * @param members tasks of each gang; 1
	 * @param accelerators for each task; 1
	 * @param cores for each task; 0
	 * @param memory for each task; none
	 * @param adjacency {@code worker}, {@code rack}, {@code zone} or {@code any}; any
	 */
	public record GuaranteeDocument(Integer gangs, Integer members, Integer accelerators, Integer cores,
			JsonNode memory, String adjacency) {

		GuaranteedShape read(String path) {
			try {
				return new GuaranteedShape(ShapeFields.orElse(this.gangs, 1), ShapeFields.shape(path, this.members,
						this.accelerators, this.cores, this.memory, this.adjacency));
			}
			catch (InvalidValueException ex) {
				throw new DocumentException(path, ex.getMessage());
			}
		}

	}

}
