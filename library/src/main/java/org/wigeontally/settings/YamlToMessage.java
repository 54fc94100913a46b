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
 * Fills a message from a tree of YAML nodes by walking the message's descriptor. Goes on
 * after a fault so that all of them are found. An {@link Address} may be written as one
 * string, "127.0.0.1:7000"; enumeration values are written in lower case.
 */
final class YamlToMessage {

	private final PlaceMap places;

	private final Findings findings;

	YamlToMessage(PlaceMap places, Findings findings) {
		this.places = places;
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
			add(node, ErrorType.WRONG_TYPE, path.isEmpty() ? "document" : path, "a mapping");
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
			add(tuple.getKeyNode(), ErrorType.UNKNOWN_KEY, key);
			return;
		}
		if (!seen.add(key)) {
			add(tuple.getKeyNode(), ErrorType.DUPLICATE_KEY, key);
			return;
		}
		String fieldPath = path.isEmpty() ? key : path + "." + key;
		put(fieldPath, tuple.getValueNode());
		if (!field.isRepeated()) {
			Object value = value(field, tuple.getValueNode(), target, fieldPath);
			if (value != null) {
				target.setField(field, value);
			}
			return;
		}
		if (!(tuple.getValueNode() instanceof SequenceNode sequence)) {
			add(tuple.getValueNode(), ErrorType.WRONG_TYPE, fieldPath, "a list");
			return;
		}
		int index = 0;
		for (Node element : sequence.getValue()) {
			String elementPath = fieldPath + "[" + index + "]";
			put(elementPath, element);
			Object value = value(field, element, target, elementPath);
			if (value != null) {
				target.addRepeatedField(field, value);
			}
			index++;
		}
	}

	private Object value(FieldDescriptor field, Node node, Message.Builder target, String path) {
		if (field.getJavaType() == FieldDescriptor.JavaType.MESSAGE) {
			Message.Builder nested = target.newBuilderForField(field);
			fill(node, nested, path);
			return nested.build();
		}
		if (!(node instanceof ScalarNode scalar)) {
			add(node, ErrorType.WRONG_TYPE, path, "a single value");
			return null;
		}
		return scalarValue(field, scalar, path);
	}

	private Object scalarValue(FieldDescriptor field, ScalarNode node, String path) {
		String text = node.getValue();
		switch (field.getJavaType()) {
			case STRING:
				return text;
			case BOOLEAN:
				if (text.equals("true") || text.equals("false")) {
					return Boolean.valueOf(text);
				}
				add(node, ErrorType.WRONG_TYPE, path, "true or false");
				return null;
			case INT:
				return integer(node, path);
			case LONG:
				return longInteger(node, path);
			case DOUBLE:
				return floating(node, path);
			case ENUM:
				return enumeration(field, node, path);
			default:
				add(node, ErrorType.WRONG_TYPE, path, "of a type that YAML can hold");
				return null;
		}
	}

	private Object integer(ScalarNode node, String path) {
		Long value = (Long) longInteger(node, path);
		if (value == null) {
			return null;
		}
		if (value < 0 || value > Integer.MAX_VALUE) {
			add(node, ErrorType.OUT_OF_RANGE, path, "from 0 to " + Integer.MAX_VALUE);
			return null;
		}
		return value.intValue();
	}

	private Object longInteger(ScalarNode node, String path) {
		try {
			return Long.valueOf(node.getValue());
		}
		catch (NumberFormatException ex) {
			add(node, ErrorType.WRONG_TYPE, path, "a whole number");
			return null;
		}
	}

	private Object floating(ScalarNode node, String path) {
		try {
			return Double.valueOf(node.getValue());
		}
		catch (NumberFormatException ex) {
			add(node, ErrorType.WRONG_TYPE, path, "a number");
			return null;
		}
	}

	private Object enumeration(FieldDescriptor field, ScalarNode node, String path) {
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
		add(node, ErrorType.WRONG_TYPE, path, names);
		return null;
	}

	private void fillAddress(ScalarNode node, Address.Builder target, String path) {
		Optional<Address> address = Addresses.parse(node.getValue());
		if (address.isEmpty()) {
			add(node, ErrorType.BAD_ADDRESS, node.getValue());
			return;
		}
		target.mergeFrom(address.get());
	}

	private void put(String path, Node node) {
		node.getStartMark().ifPresent((mark) -> this.places.put(path, mark));
	}

	private void add(Node node, ErrorType type, Object... arguments) {
		String place = node.getStartMark().map((Mark mark) -> this.places.format(mark)).orElse("");
		this.findings.add(place, type, arguments);
	}

}
