package review2;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader: objects are maps, arrays are lists, numbers are doubles. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static String quote(String text) {
        return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }

    private Object value() {
        space();
        char next = text.charAt(at);
        if (next == '{') return members();
        if (next == '[') return elements();
        if (next == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        if (word.equals("null")) return null;
        if (word.equals("true") || word.equals("false")) return Boolean.valueOf(word);
        return Double.valueOf(word);
    }

    private Map<String, Object> members() {
        Map<String, Object> result = new LinkedHashMap<>();
        at++;
        for (space(); text.charAt(at) != '}'; space()) {
            if (text.charAt(at) == ',') {
                at++;
                continue;
            }
            String name = string();
            space();
            at++;
            result.put(name, value());
        }
        at++;
        return result;
    }

    private List<Object> elements() {
        List<Object> result = new ArrayList<>();
        at++;
        for (space(); text.charAt(at) != ']'; space()) {
            if (text.charAt(at) == ',') at++;
            else result.add(value());
        }
        at++;
        return result;
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
            char next = text.charAt(at);
            if (next == '\\') {
                next = text.charAt(++at);
                if (next == 'n') next = '\n';
                if (next == 'u') {
                    next = (char) Integer.parseInt(text.substring(at + 1, at + 5), 16);
                    at += 4;
                }
            }
            result.append(next);
        }
        at++;
        return result.toString();
    }

    private void space() {
        while (at < text.length() && text.charAt(at) <= ' ') at++;
    }
}
