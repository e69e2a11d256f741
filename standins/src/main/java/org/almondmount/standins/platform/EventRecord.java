package org.almondmount.standins.platform;

import java.util.ArrayDeque;
import java.util.Deque;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * What a stand-in saw, for independent checkers. Thread-safe. The oldest events go when
 * there are too many; their numbers show it.
 */
public final class EventRecord {

	private static final int MOST = 200_000;

	private final Deque<ObjectNode> events = new ArrayDeque<>();

	private long next;

	/**
	 * Begins an event; further fields can be put into it at once.
	 * @param event its name
	 * @return the event
	 */
	public synchronized ObjectNode add(String event) {
		ObjectNode node = Documents.object();
		node.put("number", this.next++).put("atMillis", System.currentTimeMillis()).put("event", event);
		this.events.add(node);
		if (this.events.size() > MOST) {
			this.events.poll();
		}
		return node;
	}

	/**
	 * The events from a number on.
	 * @param from the first number
	 * @return {@code {"events":[…]}}
	 */
	public synchronized ObjectNode document(long from) {
		ObjectNode document = Documents.object();
		ArrayNode list = document.putArray("events");
		for (ObjectNode event : this.events) {
			if (event.get("number").asLong() >= from) {
				list.add(event);
			}
		}
		return document;
	}

}
