package org.wigeontally.settings;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import com.google.protobuf.Descriptors.EnumValueDescriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import org.snakeyaml.engine.v2.exceptions.Mark;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import org.snakeyaml.engine.v2.nodes.NodeTuple;
import org.snakeyaml.engine.v2.nodes.ScalarNode;
import org.snakeyaml.engine.v2.nodes.SequenceNode;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.errors.Findings;
import org.wigeontally.schema.generated.Address;

/**
 * Converts a tree of YAML nodes to a protobuf message, guided by the message's
 * descriptor. Continues after an error so that all errors are reported. An
 * {@link Address} may be written as one string, such as "127.0.0.1:7000". Enum values are
 * matched without regard to case; error messages list them in lower case.
 */
final class YamlToMessage {

	private final LocationMap locations;

	private final Findings findings;

	YamlToMessage(LocationMap locations, Findings findings) {
		this.locations = locations;
		this.findings = findings;
	}

	void fill(Node node, Message.Builder target, String path) {
		if (node == null) {
			return;
		}
		if (node instanceof ScalarNode scalar && target instanceof Address.Builder address) {
			fillAddress(scalar, address, path);
			return;
		}
		if (!(node instanceof MappingNode mapping)) {
			addFinding(node, ErrorType.WRONG_TYPE, path.isEmpty() ? "document" : path, "a mapping");
			return;
		}
		Set<String> seen = new HashSet<>();
		for (NodeTuple tuple : mapping.getValue()) {
			fillField(tuple, target, path, seen);
		}
	}

	private void fillField(NodeTuple tuple, Message.Builder target, String path, Set<String> seen) {
		String key = (tuple.getKeyNode() instanceof ScalarNode scalar) ? scalar.getValue() : "";
		FieldDescriptor field = target.getDescriptorForType().findFieldByName(key);
		if (field == null) {
			addFinding(tuple.getKeyNode(), ErrorType.UNKNOWN_KEY, key);
			return;
		}
		if (!seen.add(key)) {
			addFinding(tuple.getKeyNode(), ErrorType.DUPLICATE_KEY, key);
			return;
		}
		String fieldPath = path.isEmpty() ? key : path + "." + key;
		recordLocation(fieldPath, tuple.getValueNode());
		if (!field.isRepeated()) {
			Object value = convert(field, tuple.getValueNode(), target, fieldPath);
			if (value != null) {
				target.setField(field, value);
			}
			return;
		}
		if (!(tuple.getValueNode() instanceof SequenceNode sequence)) {
			addFinding(tuple.getValueNode(), ErrorType.WRONG_TYPE, fieldPath, "a list");
			return;
		}
		int index = 0;
		for (Node element : sequence.getValue()) {
			String elementPath = fieldPath + "[" + index + "]";
			recordLocation(elementPath, element);
			Object value = convert(field, element, target, elementPath);
			if (value != null) {
				target.addRepeatedField(field, value);
			}
			index++;
		}
	}

	private Object convert(FieldDescriptor field, Node node, Message.Builder target, String path) {
		if (field.getJavaType() == FieldDescriptor.JavaType.MESSAGE) {
			Message.Builder nested = target.newBuilderForField(field);
			fill(node, nested, path);
			return nested.build();
		}
		if (!(node instanceof ScalarNode scalar)) {
			addFinding(node, ErrorType.WRONG_TYPE, path, "a single value");
			return null;
		}
		return convertScalar(field, scalar, path);
	}

	private Object convertScalar(FieldDescriptor field, ScalarNode node, String path) {
		String text = node.getValue();
		switch (field.getJavaType()) {
			case STRING:
				return text;
			case BOOLEAN:
				if (text.equals("true") || text.equals("false")) {
					return Boolean.valueOf(text);
				}
				addFinding(node, ErrorType.WRONG_TYPE, path, "true or false");
				return null;
			case INT:
				return parseInt(node, path);
			case LONG:
				return parseLong(node, path);
			case DOUBLE:
				return parseDouble(node, path);
			case ENUM:
				return parseEnum(field, node, path);
			default:
				addFinding(node, ErrorType.WRONG_TYPE, path, "of a type that YAML can hold");
				return null;
		}
	}

	private Object parseInt(ScalarNode node, String path) {
		Long value = (Long) parseLong(node, path);
		if (value == null) {
			return null;
		}
		if (value < 0 || value > Integer.MAX_VALUE) {
			addFinding(node, ErrorType.OUT_OF_RANGE, path, "from 0 to " + Integer.MAX_VALUE);
			return null;
		}
		return value.intValue();
	}

	private Object parseLong(ScalarNode node, String path) {
		try {
			return Long.valueOf(node.getValue());
		}
		catch (NumberFormatException ex) {
			addFinding(node, ErrorType.WRONG_TYPE, path, "a whole number");
			return null;
		}
	}

	private Object parseDouble(ScalarNode node, String path) {
		try {
			return Double.valueOf(node.getValue());
		}
		catch (NumberFormatException ex) {
			addFinding(node, ErrorType.WRONG_TYPE, path, "a number");
			return null;
		}
	}

	private Object parseEnum(FieldDescriptor field, ScalarNode node, String path) {
		for (EnumValueDescriptor value : field.getEnumType().getValues()) {
			if (value.getNumber() != 0 && value.getName().equalsIgnoreCase(node.getValue())) {
				return value;
			}
		}
		StringBuilder names = new StringBuilder();
		for (EnumValueDescriptor value : field.getEnumType().getValues()) {
			if (value.getNumber() != 0) {
				names.append(names.isEmpty() ? "one of " : ", ").append(value.getName().toLowerCase());
			}
		}
		addFinding(node, ErrorType.WRONG_TYPE, path, names);
		return null;
	}

	private void fillAddress(ScalarNode node, Address.Builder target, String path) {
		Optional<Address> address = Addresses.parse(node.getValue());
		if (address.isEmpty()) {
			addFinding(node, ErrorType.BAD_ADDRESS, node.getValue());
			return;
		}
		target.mergeFrom(address.get());
	}

	private void recordLocation(String path, Node node) {
		node.getStartMark().ifPresent((mark) -> this.locations.put(path, mark));
	}

	private void addFinding(Node node, ErrorType type, Object... arguments) {
		String location = node.getStartMark().map((Mark mark) -> this.locations.format(mark)).orElse("");
		this.findings.add(location, type, arguments);
	}

}
