import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON parser for the calls that the store stand-in receives. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    /** Parses an object. */
    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) new Json(text).value();
    }

    /** Quotes a string that needs no escapes beyond quotes and backslashes. */
    static String quote(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private Object value() {
        skipSpace();
        char first = text.charAt(at);
        if (first == '{') return readObject();
        if (first == '[') return readList();
        if (first == '"') return readString();
        return readLiteral();
    }

    private Map<String, Object> readObject() {
        Map<String, Object> fields = new LinkedHashMap<>();
        at++;
        while (next() != '}') {
            if (text.charAt(at) == ',') at++;
            skipSpace();
            String name = readString();
            skipSpace();
            at++;
            fields.put(name, value());
        }
        at++;
        return fields;
    }

    private List<Object> readList() {
        List<Object> items = new ArrayList<>();
        at++;
        while (next() != ']') {
            if (text.charAt(at) == ',') at++;
            items.add(value());
        }
        at++;
        return items;
    }

    private String readString() {
        StringBuilder read = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            if (text.charAt(at) == '\\') at++;
            read.append(text.charAt(at++));
        }
        at++;
        return read.toString();
    }

    private Object readLiteral() {
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String literal = text.substring(start, at);
        if (literal.equals("true") || literal.equals("false")) return Boolean.valueOf(literal);
        return literal.equals("null") ? null : Long.valueOf(literal);
    }

    private char next() {
        skipSpace();
        return text.charAt(at);
    }

    private void skipSpace() {
        while (Character.isWhitespace(text.charAt(at))) at++;
    }
}
