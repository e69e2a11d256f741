package org.almondmount.daemon.entry.json;

import java.io.IOException;
import java.time.Duration;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import org.almondmount.model.CustomerId;
import org.almondmount.model.EntryId;
import org.almondmount.model.JobId;
import org.almondmount.model.RackId;
import org.almondmount.model.RequestId;
import org.almondmount.model.TargetId;
import org.almondmount.model.WorkerId;
import org.almondmount.model.ZoneId;
import org.almondmount.plan.Intent;

/**
 * How the types of the core stand in JSON: identifiers as text, durations as
 * milliseconds, an intent with its kind.
 */
final class CoreTypes extends SimpleModule {

	private static final long serialVersionUID = 1L;

	CoreTypes() {
		super("almondmount-core");
		setMixInAnnotation(CustomerId.class, Identifier.class);
		setMixInAnnotation(EntryId.class, Identifier.class);
		setMixInAnnotation(JobId.class, Identifier.class);
		setMixInAnnotation(RackId.class, Identifier.class);
		setMixInAnnotation(RequestId.class, Identifier.class);
		setMixInAnnotation(TargetId.class, Identifier.class);
		setMixInAnnotation(WorkerId.class, Identifier.class);
		setMixInAnnotation(ZoneId.class, Identifier.class);
		setMixInAnnotation(Intent.class, IntentKinds.class);
		addSerializer(Duration.class, new MillisWriter());
		addDeserializer(Duration.class, new MillisReader());
	}

	/**
	 * An identifier is its text.
	 */
	abstract static class Identifier {

		@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
		Identifier(String value) {
		}

		@JsonValue
		abstract String value();

	}

	/**
	 * The kinds of intent as they stand in rows.
	 */
	@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
	@JsonSubTypes({ @JsonSubTypes.Type(name = "set-zone", value = Intent.SetZone.class),
			@JsonSubTypes.Type(name = "put-customer", value = Intent.PutCustomer.class),
			@JsonSubTypes.Type(name = "remove-customer", value = Intent.RemoveCustomer.class),
			@JsonSubTypes.Type(name = "set-option", value = Intent.SetOption.class) })
	interface IntentKinds {

	}

	private static final class MillisWriter extends StdSerializer<Duration> {

		private static final long serialVersionUID = 1L;

		MillisWriter() {
			super(Duration.class);
		}

		@Override
		public void serialize(Duration value, JsonGenerator generator, SerializerProvider provider) throws IOException {
			generator.writeNumber(value.toMillis());
		}

	}

	private static final class MillisReader extends StdDeserializer<Duration> {

		private static final long serialVersionUID = 1L;

		MillisReader() {
			super(Duration.class);
		}

		@Override
		public Duration deserialize(JsonParser parser, DeserializationContext context) throws IOException {
			return Duration.ofMillis(parser.getLongValue());
		}

	}

}
