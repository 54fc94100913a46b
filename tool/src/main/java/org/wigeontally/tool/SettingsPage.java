package org.wigeontally.tool;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.protobuf.DescriptorProtos.DescriptorProto;
import com.google.protobuf.DescriptorProtos.EnumDescriptorProto;
import com.google.protobuf.DescriptorProtos.FieldDescriptorProto;
import com.google.protobuf.DescriptorProtos.FileDescriptorProto;
import com.google.protobuf.DescriptorProtos.FileDescriptorSet;
import com.google.protobuf.DescriptorProtos.SourceCodeInfo.Location;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageOrBuilder;

import org.wigeontally.schema.generated.AgentSettings;
import org.wigeontally.schema.generated.BackendSettings;
import org.wigeontally.schema.generated.EntrySettings;
import org.wigeontally.settings.SettingsDefaults;

/**
 * Reference page of the settings in Markdown. It has a table for each kind of file that
 * operators write and for each message type in it. Names, types and descriptions come
 * from the schema; defaults come from {@link SettingsDefaults}.
 */
final class SettingsPage {

	private static final List<String> ROOT_MESSAGES = List.of("EntrySettings", "AgentSettings", "HostSettings",
			"OperatorSettings", "Bundle");

	private final Map<String, DescriptorProto> messages = new HashMap<>();

	private final Map<String, EnumDescriptorProto> enums = new HashMap<>();

	private final Map<String, String> comments = new HashMap<>();

	private final Map<String, String> defaults = new HashMap<>();

	private SettingsPage(FileDescriptorSet files) {
		for (FileDescriptorProto file : files.getFileList()) {
			Map<List<Integer>, String> commentsByPath = new HashMap<>();
			for (Location location : file.getSourceCodeInfo().getLocationList()) {
				commentsByPath.put(location.getPathList(),
						location.getLeadingComments().strip().replaceAll("\\s+", " "));
			}
			addMessages(file, commentsByPath);
			addEnums(file, commentsByPath);
		}
		EntrySettings.Builder entry = EntrySettings.newBuilder();
		SettingsDefaults.apply(entry);
		addDefaults(entry);
		AgentSettings.Builder agent = AgentSettings.newBuilder().addBackends(BackendSettings.getDefaultInstance());
		SettingsDefaults.apply(agent);
		addDefaults(agent);
		addDefaults(agent.getBackends(0));
	}

	private void addDefaults(MessageOrBuilder settings) {
		String message = settings.getDescriptorForType().getName();
		settings.getAllFields().forEach((field, value) -> {
			if (!field.isRepeated()) {
				this.defaults.put(message + "." + field.getName(), "`" + value + "`");
			}
		});
	}

	static SettingsPage fromDescriptorSet(byte[] descriptorSet) throws InvalidProtocolBufferException {
		return new SettingsPage(FileDescriptorSet.parseFrom(descriptorSet));
	}

	private void addMessages(FileDescriptorProto file, Map<List<Integer>, String> commentsByPath) {
		for (int i = 0; i < file.getMessageTypeCount(); i++) {
			DescriptorProto message = file.getMessageType(i);
			this.messages.put(message.getName(), message);
			this.comments.put(message.getName(),
					commentsByPath.getOrDefault(List.of(FileDescriptorProto.MESSAGE_TYPE_FIELD_NUMBER, i), ""));
			for (int j = 0; j < message.getFieldCount(); j++) {
				List<Integer> path = List.of(FileDescriptorProto.MESSAGE_TYPE_FIELD_NUMBER, i,
						DescriptorProto.FIELD_FIELD_NUMBER, j);
				this.comments.put(message.getName() + "." + message.getField(j).getName(),
						commentsByPath.getOrDefault(path, ""));
			}
		}
	}

	private void addEnums(FileDescriptorProto file, Map<List<Integer>, String> commentsByPath) {
		for (int i = 0; i < file.getEnumTypeCount(); i++) {
			EnumDescriptorProto type = file.getEnumType(i);
			this.enums.put(type.getName(), type);
			for (int j = 0; j < type.getValueCount(); j++) {
				List<Integer> path = List.of(FileDescriptorProto.ENUM_TYPE_FIELD_NUMBER, i,
						EnumDescriptorProto.VALUE_FIELD_NUMBER, j);
				this.comments.put(type.getName() + "." + type.getValue(j).getName(),
						commentsByPath.getOrDefault(path, ""));
			}
		}
	}

	String format() {
		StringBuilder page = new StringBuilder("# Settings\n\n"
				+ "Made from the schema by `bin/settings-page`. Files are YAML; unknown keys are errors. "
				+ "Check a file with `bin/wigeontally check --kind entry|agent|platform_entry|platform_agent|operator|bundle FILE`.\n");
		Set<String> writtenTypes = new LinkedHashSet<>();
		Deque<String> pendingTypes = new ArrayDeque<>(ROOT_MESSAGES);
		while (!pendingTypes.isEmpty()) {
			String name = pendingTypes.poll();
			if (writtenTypes.add(name)) {
				appendType(name, page, pendingTypes);
			}
		}
		return page.toString();
	}

	private void appendType(String name, StringBuilder page, Deque<String> pendingTypes) {
		page.append("\n## ").append(name).append("\n\n");
		if (this.enums.containsKey(name)) {
			page.append("| value | meaning |\n| --- | --- |\n");
			for (int i = 1; i < this.enums.get(name).getValueCount(); i++) {
				String value = this.enums.get(name).getValue(i).getName();
				appendRow(page, "`" + value.toLowerCase() + "`", this.comments.get(name + "." + value));
			}
			return;
		}
		String comment = this.comments.get(name);
		page.append(comment.isEmpty() ? "" : comment + "\n\n")
			.append("| key | type | default | meaning |\n| --- | --- | --- | --- |\n");
		for (FieldDescriptorProto field : this.messages.get(name).getFieldList()) {
			String qualifiedName = name + "." + field.getName();
			appendRow(page, "`" + field.getName() + "`", formatType(field),
					this.defaults.getOrDefault(qualifiedName, ""), this.comments.get(qualifiedName));
			if (field.hasTypeName() && !simpleName(field).equals("Address")) {
				pendingTypes.add(simpleName(field));
			}
		}
	}

	private static void appendRow(StringBuilder page, String... cells) {
		page.append("| ").append(String.join(" | ", cells)).append(" |\n");
	}

	private static String formatType(FieldDescriptorProto field) {
		String type = switch (field.getType()) {
			case TYPE_STRING -> "text";
			case TYPE_BOOL -> "true or false";
			case TYPE_MESSAGE, TYPE_ENUM -> simpleName(field).equals("Address") ? "IP:PORT" : simpleName(field);
			default -> "whole number";
		};
		return (field.getLabel() == FieldDescriptorProto.Label.LABEL_REPEATED) ? "list of " + type : type;
	}

	private static String simpleName(FieldDescriptorProto field) {
		return field.getTypeName().substring(field.getTypeName().lastIndexOf('.') + 1);
	}

}
