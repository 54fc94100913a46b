package org.wigeontally.tool;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.google.protobuf.Descriptors.EnumValueDescriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import org.snakeyaml.engine.v2.api.Dump;
import org.snakeyaml.engine.v2.api.DumpSettings;
import org.snakeyaml.engine.v2.common.FlowStyle;

import org.wigeontally.schema.generated.Address;
import org.wigeontally.settings.Addresses;

/**
 * Writes a message as YAML that {@link org.wigeontally.settings.SettingsReader} can read.
 */
final class MessageToYaml {

	private MessageToYaml() {
	}

	static String write(Message message) {
		DumpSettings settings = DumpSettings.builder().setDefaultFlowStyle(FlowStyle.BLOCK).build();
		return new Dump(settings).dumpToString(toYamlValue(message));
	}

	private static Object toYamlValue(Object value) {
		if (value instanceof Address address) {
			return Addresses.format(address);
		}
		if (value instanceof EnumValueDescriptor constant) {
			return constant.getName().toLowerCase();
		}
		if (value instanceof Message message) {
			Map<String, Object> mapping = new LinkedHashMap<>();
			for (Map.Entry<FieldDescriptor, Object> entry : message.getAllFields().entrySet()) {
				mapping.put(entry.getKey().getName(), toYamlValue(entry.getValue()));
			}
			return mapping;
		}
		if (value instanceof List<?> list) {
			List<Object> sequence = new ArrayList<>();
			list.forEach((element) -> sequence.add(toYamlValue(element)));
			return sequence;
		}
		return value;
	}

}
