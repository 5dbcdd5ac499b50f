package pondridge.standin.redis;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;

/**
 * Executes a subset of the Redis commands as the public command reference specifies them. The caller passes
 * the time in milliseconds. No I/O; not thread-safe.
 */
final class Commands {
    /** The number of databases for {@code SELECT}. */
    static final int DATABASE_COUNT = 16;

    private static final int MAX_QUEUED_REQUESTS = 1_000;
    private static final int MAX_SUBSCRIBED_CHANNELS = 1_000;
    private static final long MAX_EXPIRY_MS = 1L << 50;

    /** The implementation of a command. */
    private interface Implementation {
        Reply run(Session session, Keyspace keys, List<String> args, long nowMillis);
    }

    /**
     * A command.
     *
     * @param arity as in the reference: the number of words, or the negated minimum
     * @param writes whether it changes data
     * @param withoutAuth whether it is allowed before authentication
     */
    private record Command(int arity, boolean writes, boolean withoutAuth, Implementation implementation) {}

    /** Carries an error reply to the client. */
    private static final class ErrorReplyException extends RuntimeException {
        private static final long serialVersionUID = 1;

        ErrorReplyException(String text) {
            super(text);
        }
    }

    private final Map<String, Command> commands = new HashMap<>();
    private final List<Keyspace> databases = new ArrayList<>();
    private final Map<String, Set<Session>> subscribers = new HashMap<>();
    private final Map<String, Set<Session>> watchers = new HashMap<>();
    private final String user;
    private final String password;
    private final boolean evicts;
    private final Random random;
    private boolean readOnly;
    private long executedRequests;

    /**
     * Creates an empty store.
     *
     * @param user the user name that clients authenticate with; {@code default} if they send a password only
     * @param password empty for none
     * @param maxBytes the memory limit of each database
     * @param evicts over the limit, evict the least recently used keys; otherwise reject writes
     */
    Commands(String user, String password, long maxBytes, boolean evicts, long seed) {
        this.user = user;
        this.password = password;
        this.evicts = evicts;
        this.random = new Random(seed);
        for (int i = 0; i < DATABASE_COUNT; i++) {
            databases.add(new Keyspace(maxBytes));
        }
        addConnectionCommands();
        addStringCommands();
        addKeyCommands();
        addHashCommands();
        addSetCommands();
        addSortedSetCommands();
        addPubSubCommands();
    }

    Keyspace database(int number) {
        return databases.get(number);
    }

    void readOnly(boolean enabled) {
        readOnly = enabled;
    }

    boolean needsPassword() {
        return !password.isEmpty();
    }

    long executedRequests() {
        return executedRequests;
    }

    /** Whether a request changes data and so has to be replicated. */
    boolean writes(List<String> request) {
        Command command = commands.get(request.get(0).toLowerCase(Locale.ROOT));
        return command != null && command.writes;
    }

    /** Removes the subscriptions and watched keys of a closed connection. */
    void disconnected(Session session) {
        List.copyOf(session.subscribedChannels).forEach(channel -> unsubscribe(session, channel));
        unwatch(session);
    }

    /** Executes a request. */
    Reply run(Session session, List<String> request, long nowMillis) {
        String name = request.get(0).toLowerCase(Locale.ROOT);
        Command command = commands.get(name);
        executedRequests++;
        if (command == null) {
            return reject(session, "ERR unknown command '" + truncate(request.get(0)) + "'");
        }
        if (command.arity > 0 ? request.size() != command.arity : request.size() < -command.arity) {
            return reject(session, "ERR wrong number of arguments for '" + name + "' command");
        }
        if (!session.authenticated && !command.withoutAuth) {
            return new Reply.SimpleError("NOAUTH Authentication required.");
        }
        if (session.queuedRequests != null
                && !Set.of("exec", "discard", "multi", "watch", "quit", "reset").contains(name)) {
            if (session.queuedRequests.size() >= MAX_QUEUED_REQUESTS) {
                return reject(session, "ERR too many commands in a transaction");
            }
            session.queuedRequests.add(request);
            return new Reply.SimpleString("QUEUED");
        }
        return execute(session, command, request, nowMillis);
    }

    private static String truncate(String text) {
        return text.length() > 128 ? text.substring(0, 128) : text;
    }

    private Reply reject(Session session, String text) {
        session.transactionFailed = session.queuedRequests != null;
        return new Reply.SimpleError(text);
    }

    private Reply execute(Session session, Command command, List<String> request, long nowMillis) {
        Keyspace keys = databases.get(session.database);
        if (command.writes && readOnly) {
            return new Reply.SimpleError("READONLY You can't write against a read only replica.");
        }
        String name = request.get(0).toLowerCase(Locale.ROOT);
        boolean freesMemory =
                name.contains("del") || name.contains("rem") || name.contains("flush") || name.contains("expire");
        if (command.writes && !evicts && !freesMemory && keys.isOverLimit()) {
            return new Reply.SimpleError("OOM command not allowed when used memory > 'maxmemory'.");
        }
        try {
            Reply reply = command.implementation.run(session, keys, request, nowMillis);
            if (command.writes) {
                for (String key : name.equals("mset")
                        ? request.subList(1, request.size())
                        : request.size() > 1 ? request.subList(1, 2) : List.<String>of()) {
                    markChanged(session, key);
                }
                if (evicts) {
                    keys.evict(request.size() > 1 ? request.get(1) : "");
                }
            }
            return reply;
        } catch (Keyspace.WrongTypeException e) {
            return new Reply.SimpleError("WRONGTYPE Operation against a key holding the wrong kind of value");
        } catch (ArithmeticException e) {
            return new Reply.SimpleError("ERR increment or decrement would overflow");
        } catch (ErrorReplyException e) {
            return new Reply.SimpleError(e.getMessage());
        }
    }

    private void markChanged(Session session, String key) {
        watchers.getOrDefault(session.database + "/" + key, Set.of()).forEach(each -> each.watchedKeyChanged = true);
    }

    private void unwatch(Session session) {
        for (String key : session.watchedKeys) {
            Set<Session> keyWatchers = watchers.get(key);
            if (keyWatchers != null) {
                keyWatchers.remove(session);
                if (keyWatchers.isEmpty()) {
                    watchers.remove(key);
                }
            }
        }
        session.watchedKeys.clear();
        session.watchedKeyChanged = false;
    }

    private void add(String name, int arity, Implementation implementation) {
        commands.put(name, new Command(arity, false, false, implementation));
    }

    private void addWithoutAuth(String name, int arity, Implementation implementation) {
        commands.put(name, new Command(arity, false, true, implementation));
    }

    private void addWrite(String name, int arity, Implementation implementation) {
        commands.put(name, new Command(arity, true, false, implementation));
    }

    private static long parseInteger(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new ErrorReplyException("ERR value is not an integer or out of range");
        }
    }

    private static double parseScore(String text) {
        String number = text.startsWith("(") ? text.substring(1) : text;
        try {
            double value =
                    switch (number.toLowerCase(Locale.ROOT)) {
                        case "inf", "+inf" -> Double.POSITIVE_INFINITY;
                        case "-inf" -> Double.NEGATIVE_INFINITY;
                        default -> Double.parseDouble(number);
                    };
            if (!Double.isNaN(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw new ErrorReplyException("ERR value is not a valid float");
    }

    private static Reply integer(long value) {
        return new Reply.IntegerReply(value);
    }

    private static Reply bool(boolean value) {
        return new Reply.IntegerReply(value ? 1 : 0);
    }

    private Reply authenticate(Session session, String name, String secret) {
        if (password.isEmpty()) {
            throw new ErrorReplyException("ERR AUTH <password> called without any password configured for the default "
                    + "user. Are you sure your configuration is correct?");
        }
        if (!name.equals(user) || !secret.equals(password)) {
            throw new ErrorReplyException("WRONGPASS invalid username-password pair or user is disabled.");
        }
        session.authenticated = true;
        return Reply.OK;
    }

    private void addConnectionCommands() {
        addWithoutAuth(
                "auth",
                -2,
                (session, keys, args, nowMillis) ->
                        authenticate(session, args.size() > 2 ? args.get(1) : "default", args.get(args.size() - 1)));
        addWithoutAuth("quit", -1, (session, keys, args, nowMillis) -> {
            session.closing = true;
            return Reply.OK;
        });
        addWithoutAuth("reset", 1, (session, keys, args, nowMillis) -> {
            disconnected(session);
            session.endTransaction();
            session.resp3 = false;
            session.database = 0;
            session.authenticated = password.isEmpty();
            return new Reply.SimpleString("RESET");
        });
        addWithoutAuth("hello", -1, this::hello);
        add("ping", -1, (session, keys, args, nowMillis) -> {
            if (!session.resp3 && !session.subscribedChannels.isEmpty()) {
                return Reply.bulkArray(List.of("pong", args.size() > 1 ? args.get(1) : ""));
            }
            return args.size() > 1 ? new Reply.BulkString(args.get(1)) : new Reply.SimpleString("PONG");
        });
        add("echo", 2, (session, keys, args, nowMillis) -> new Reply.BulkString(args.get(1)));
        add("select", 2, (session, keys, args, nowMillis) -> {
            long number = parseInteger(args.get(1));
            if (number < 0 || number >= DATABASE_COUNT) {
                throw new ErrorReplyException("ERR DB index is out of range");
            }
            session.database = (int) number;
            return Reply.OK;
        });
        add("client", -2, (session, keys, args, nowMillis) -> switch (args.get(1)
                .toLowerCase(Locale.ROOT)) {
            case "setname" -> {
                session.name = args.size() > 2 ? args.get(2) : "";
                yield Reply.OK;
            }
            case "getname" -> session.name.isEmpty() ? Reply.NULL : new Reply.BulkString(session.name);
            case "id" -> integer(session.id);
            case "setinfo", "no-evict", "no-touch" -> Reply.OK;
            default -> throw new ErrorReplyException(
                    "ERR unknown subcommand '" + truncate(args.get(1)) + "'. Try CLIENT HELP.");
        });
        add(
                "command",
                -1,
                (session, keys, args, nowMillis) ->
                        args.size() > 1 && args.get(1).equalsIgnoreCase("count")
                                ? integer(commands.size())
                                : Reply.EMPTY_ARRAY);
        add(
                "info",
                -1,
                (session, keys, args, nowMillis) -> new Reply.BulkString("# Server\r\nredis_version:7.4.0\r\n"
                        + "redis_mode:standalone\r\n# Replication\r\nrole:" + (readOnly ? "slave" : "master")
                        + "\r\n# Memory\r\nused_memory:" + keys.usedBytes() + "\r\nevicted_keys:" + keys.evictedKeys()
                        + "\r\n# Stats\r\ntotal_commands_processed:" + executedRequests + "\r\n"));
        add(
                "time",
                1,
                (session, keys, args, nowMillis) -> Reply.bulkArray(
                        List.of(Long.toString(nowMillis / 1_000), Long.toString(nowMillis % 1_000 * 1_000))));
        add("multi", 1, (session, keys, args, nowMillis) -> {
            if (session.queuedRequests != null) {
                throw new ErrorReplyException("ERR MULTI calls can not be nested");
            }
            session.beginTransaction();
            return Reply.OK;
        });
        add("exec", 1, this::exec);
        add("discard", 1, (session, keys, args, nowMillis) -> {
            if (session.queuedRequests == null) {
                throw new ErrorReplyException("ERR DISCARD without MULTI");
            }
            unwatch(session);
            session.endTransaction();
            return Reply.OK;
        });
        add("watch", -2, (session, keys, args, nowMillis) -> {
            if (session.queuedRequests != null) {
                throw new ErrorReplyException("ERR WATCH inside MULTI is not allowed");
            }
            for (String key : args.subList(1, args.size())) {
                String full = session.database + "/" + key;
                session.watchedKeys.add(full);
                watchers.computeIfAbsent(full, each -> new HashSet<>()).add(session);
            }
            return Reply.OK;
        });
        add("unwatch", 1, (session, keys, args, nowMillis) -> {
            unwatch(session);
            return Reply.OK;
        });
    }

    private Reply hello(Session session, Keyspace keys, List<String> args, long nowMillis) {
        boolean resp3 = session.resp3;
        if (args.size() > 1) {
            if (!args.get(1).equals("2") && !args.get(1).equals("3")) {
                throw new ErrorReplyException("NOPROTO unsupported protocol version");
            }
            resp3 = args.get(1).equals("3");
            for (int i = 2; i < args.size(); ) {
                String option = args.get(i).toLowerCase(Locale.ROOT);
                if (option.equals("auth") && i + 2 < args.size()) {
                    authenticate(session, args.get(i + 1), args.get(i + 2));
                    i += 3;
                } else if (option.equals("setname") && i + 1 < args.size()) {
                    session.name = args.get(i + 1);
                    i += 2;
                } else {
                    throw new ErrorReplyException("ERR Syntax error in HELLO option '" + truncate(args.get(i)) + "'");
                }
            }
        }
        if (!session.authenticated) {
            throw new ErrorReplyException(
                    "NOAUTH HELLO must be called with the client already authenticated, otherwise "
                            + "the HELLO <proto> AUTH <user> <pass> option can be used to authenticate the client "
                            + "and select the RESP protocol version at the same time");
        }
        session.resp3 = resp3;
        return new Reply.Aggregate(
                '%',
                List.of(
                        new Reply.BulkString("server"),
                        new Reply.BulkString("redis"),
                        new Reply.BulkString("version"),
                        new Reply.BulkString("7.4.0"),
                        new Reply.BulkString("proto"),
                        integer(resp3 ? 3 : 2),
                        new Reply.BulkString("id"),
                        integer(session.id),
                        new Reply.BulkString("mode"),
                        new Reply.BulkString("standalone"),
                        new Reply.BulkString("role"),
                        new Reply.BulkString(readOnly ? "replica" : "master"),
                        new Reply.BulkString("modules"),
                        Reply.EMPTY_ARRAY));
    }

    private Reply exec(Session session, Keyspace keys, List<String> args, long nowMillis) {
        if (session.queuedRequests == null) {
            throw new ErrorReplyException("ERR EXEC without MULTI");
        }
        List<List<String>> queued = session.queuedRequests;
        boolean failed = session.transactionFailed;
        boolean watchedKeyChanged = session.watchedKeyChanged;
        unwatch(session);
        session.endTransaction();
        if (failed) {
            throw new ErrorReplyException("EXECABORT Transaction discarded because of previous errors.");
        }
        if (watchedKeyChanged) {
            return Reply.NULL;
        }
        List<Reply> replies = new ArrayList<>();
        for (List<String> each : queued) {
            replies.add(execute(session, commands.get(each.get(0).toLowerCase(Locale.ROOT)), each, nowMillis));
        }
        return new Reply.Aggregate('*', replies);
    }

    private void addStringCommands() {
        addWrite("set", -3, this::set);
        add("get", 2, (session, keys, args, nowMillis) -> Reply.bulk(keys.get(String.class, args.get(1), nowMillis)));
        add("mget", -2, (session, keys, args, nowMillis) -> {
            List<Reply> found = new ArrayList<>();
            for (String key : args.subList(1, args.size())) {
                found.add(
                        keys.typeName(key, nowMillis).equals("string")
                                ? Reply.bulk(keys.get(String.class, key, nowMillis))
                                : Reply.NULL);
            }
            return new Reply.Aggregate('*', found);
        });
        addWrite("mset", -3, (session, keys, args, nowMillis) -> {
            if (args.size() % 2 == 0) {
                throw new ErrorReplyException("ERR wrong number of arguments for 'mset' command");
            }
            for (int i = 1; i < args.size(); i += 2) {
                keys.set(args.get(i), args.get(i + 1));
            }
            return Reply.OK;
        });
        addWrite(
                "incrby",
                3,
                (session, keys, args, nowMillis) -> increment(keys, args.get(1), parseInteger(args.get(2)), nowMillis));
        addWrite("incr", 2, (session, keys, args, nowMillis) -> increment(keys, args.get(1), 1, nowMillis));
        addWrite(
                "decrby",
                3,
                (session, keys, args, nowMillis) ->
                        increment(keys, args.get(1), Math.negateExact(parseInteger(args.get(2))), nowMillis));
        addWrite("decr", 2, (session, keys, args, nowMillis) -> increment(keys, args.get(1), -1, nowMillis));
    }

    private static Reply increment(Keyspace keys, String key, long by, long nowMillis) {
        String old = keys.get(String.class, key, nowMillis);
        long value;
        try {
            value = Math.addExact(old == null ? 0 : parseInteger(old), by);
        } catch (ArithmeticException e) {
            throw new ErrorReplyException("ERR increment or decrement would overflow");
        }
        long remainingTtl = keys.timeToLive(key, nowMillis);
        keys.set(key, Long.toString(value));
        if (remainingTtl >= 0) {
            keys.expireAt(key, nowMillis + remainingTtl, nowMillis);
        }
        return integer(value);
    }

    private Reply set(Session session, Keyspace keys, List<String> args, long nowMillis) {
        long expiresAtMillis = Long.MAX_VALUE;
        boolean keepTtl = false;
        boolean returnOld = false;
        boolean hasExpiry = false;
        String condition = "";
        for (int i = 3; i < args.size(); i++) {
            String option = args.get(i).toLowerCase(Locale.ROOT);
            boolean isExpiryOption = Set.of("ex", "px", "exat", "pxat").contains(option);
            if (isExpiryOption && !hasExpiry && !keepTtl && i + 1 < args.size()) {
                hasExpiry = true;
                expiresAtMillis = expiry(option, args.get(++i), nowMillis, "set");
            } else if ((option.equals("nx") || option.equals("xx")) && condition.isEmpty()) {
                condition = option;
            } else if (option.equals("get")) {
                returnOld = true;
            } else if (option.equals("keepttl") && !hasExpiry) {
                keepTtl = true;
            } else {
                throw new ErrorReplyException("ERR syntax error");
            }
        }
        String key = args.get(1);
        String old = returnOld ? keys.get(String.class, key, nowMillis) : null;
        if (condition.equals("nx") && keys.has(key, nowMillis) || condition.equals("xx") && !keys.has(key, nowMillis)) {
            return returnOld ? Reply.bulk(old) : Reply.NULL;
        }
        long remainingTtl = keepTtl ? keys.timeToLive(key, nowMillis) : -1;
        keys.set(key, args.get(2));
        if (hasExpiry || remainingTtl >= 0) {
            keys.expireAt(key, hasExpiry ? expiresAtMillis : nowMillis + remainingTtl, nowMillis);
        }
        return returnOld ? Reply.bulk(old) : Reply.OK;
    }

    private static long expiry(String unit, String text, long nowMillis, String command) {
        long value = parseInteger(text);
        long scaled = unit.startsWith("e") ? value * 1_000 : value;
        if (value <= 0 && command.equals("set") || Math.abs(value) > MAX_EXPIRY_MS / 1_000) {
            throw new ErrorReplyException("ERR invalid expire time in '" + command + "' command");
        }
        return unit.endsWith("at") ? scaled : nowMillis + scaled;
    }

    private void addKeyCommands() {
        addWrite(
                "del",
                -2,
                (session, keys, args, nowMillis) -> integer(args.stream()
                        .skip(1)
                        .filter(key -> keys.has(key, nowMillis) && keys.remove(key))
                        .count()));
        add(
                "exists",
                -2,
                (session, keys, args, nowMillis) -> integer(args.stream()
                        .skip(1)
                        .filter(key -> keys.has(key, nowMillis))
                        .count()));
        add(
                "type",
                2,
                (session, keys, args, nowMillis) -> new Reply.SimpleString(keys.typeName(args.get(1), nowMillis)));
        addWrite(
                "expire",
                3,
                (session, keys, args, nowMillis) ->
                        bool(keys.expireAt(args.get(1), expiry("ex", args.get(2), nowMillis, "expire"), nowMillis)));
        addWrite(
                "pexpire",
                3,
                (session, keys, args, nowMillis) ->
                        bool(keys.expireAt(args.get(1), expiry("px", args.get(2), nowMillis, "pexpire"), nowMillis)));
        addWrite(
                "persist",
                2,
                (session, keys, args, nowMillis) -> bool(keys.timeToLive(args.get(1), nowMillis) >= 0
                        && keys.expireAt(args.get(1), Long.MAX_VALUE, nowMillis)));
        add("pttl", 2, (session, keys, args, nowMillis) -> integer(keys.timeToLive(args.get(1), nowMillis)));
        add("ttl", 2, (session, keys, args, nowMillis) -> {
            long remainingMillis = keys.timeToLive(args.get(1), nowMillis);
            return integer(remainingMillis < 0 ? remainingMillis : (remainingMillis + 500) / 1_000);
        });
        add("dbsize", 1, (session, keys, args, nowMillis) -> integer(keys.size(nowMillis)));
        Implementation flush = (session, keys, args, nowMillis) -> {
            keys.clear();
            return Reply.OK;
        };
        addWrite("flushdb", -1, flush);
        addWrite("flushall", -1, (session, keys, args, nowMillis) -> {
            databases.forEach(Keyspace::clear);
            return Reply.OK;
        });
        add("scan", -2, this::scan);
    }

    /** The cursor is a position in the order of hashes, so keys that exist during the whole scan are returned. */
    private Reply scan(Session session, Keyspace keys, List<String> args, long nowMillis) {
        long cursor = parseInteger(args.get(1));
        long maxKeys = 10;
        Pattern pattern = null;
        for (int i = 2; i + 1 < args.size(); i += 2) {
            switch (args.get(i).toLowerCase(Locale.ROOT)) {
                case "count" -> maxKeys = Math.max(1, Math.min(10_000, parseInteger(args.get(i + 1))));
                case "match" -> pattern = glob(args.get(i + 1));
                case "type" -> {}
                default -> throw new ErrorReplyException("ERR syntax error");
            }
        }
        List<String> names = keys.keys(nowMillis);
        names.sort(Comparator.comparingInt(Commands::position).thenComparing(each -> each));
        List<String> found = new ArrayList<>();
        long next = 0;
        int seen = 0;
        for (String name : names) {
            int position = position(name);
            if (position < cursor) {
                continue;
            }
            // All keys of a position are returned together, since the cursor cannot point between them.
            if (seen >= maxKeys && position >= next) {
                return scanReply(position, found);
            }
            seen++;
            next = position + 1L;
            if (pattern == null || pattern.matcher(name).matches()) {
                found.add(name);
            }
        }
        return scanReply(0, found);
    }

    private static Reply scanReply(long cursor, List<String> found) {
        return new Reply.Aggregate('*', List.of(new Reply.BulkString(Long.toString(cursor)), Reply.bulkArray(found)));
    }

    private static int position(String name) {
        return 1 + (name.hashCode() & 0x3fffffff);
    }

    private static Pattern glob(String text) {
        StringBuilder expression = new StringBuilder();
        for (char each : truncate(text).toCharArray()) {
            expression.append(each == '*' ? ".*" : each == '?' ? "." : Pattern.quote(String.valueOf(each)));
        }
        return Pattern.compile(expression.toString(), Pattern.DOTALL);
    }

    @SuppressWarnings("unchecked")
    private static Map<String, String> hash(Keyspace keys, String key, long nowMillis) {
        Map<String, String> hash = keys.get(HashMap.class, key, nowMillis);
        return hash == null ? Map.of() : hash;
    }

    @SuppressWarnings("unchecked")
    private static Map<String, String> getOrCreateHash(Keyspace keys, String key, long nowMillis) {
        return keys.getOrCreate(HashMap.class, key, nowMillis, new LinkedHashMap<>());
    }

    private void addHashCommands() {
        addWrite("hset", -4, (session, keys, args, nowMillis) -> {
            if (args.size() % 2 != 0) {
                throw new ErrorReplyException("ERR wrong number of arguments for 'hset' command");
            }
            Map<String, String> hash = getOrCreateHash(keys, args.get(1), nowMillis);
            int before = hash.size();
            for (int i = 2; i < args.size(); i += 2) {
                hash.put(args.get(i), args.get(i + 1));
            }
            keys.changed(args.get(1));
            return integer(hash.size() - before);
        });
        add(
                "hget",
                3,
                (session, keys, args, nowMillis) ->
                        Reply.bulk(hash(keys, args.get(1), nowMillis).get(args.get(2))));
        add(
                "hmget",
                -3,
                (session, keys, args, nowMillis) -> Reply.bulkArray(args.stream()
                        .skip(2)
                        .map(hash(keys, args.get(1), nowMillis)::get)
                        .toList()));
        add("hgetall", 2, (session, keys, args, nowMillis) -> {
            List<Reply> all = new ArrayList<>();
            hash(keys, args.get(1), nowMillis).forEach((field, value) -> {
                all.add(new Reply.BulkString(field));
                all.add(new Reply.BulkString(value));
            });
            return new Reply.Aggregate('%', all);
        });
        add(
                "hlen",
                2,
                (session, keys, args, nowMillis) ->
                        integer(hash(keys, args.get(1), nowMillis).size()));
        addWrite("hdel", -3, (session, keys, args, nowMillis) -> {
            Map<String, String> hash = hash(keys, args.get(1), nowMillis);
            long removedCount = args.stream()
                    .skip(2)
                    .filter(field -> !hash.isEmpty() && hash.remove(field) != null)
                    .count();
            keys.changed(args.get(1));
            return integer(removedCount);
        });
        addWrite("hincrby", 4, (session, keys, args, nowMillis) -> {
            Map<String, String> hash = getOrCreateHash(keys, args.get(1), nowMillis);
            long value = Math.addExact(parseInteger(hash.getOrDefault(args.get(2), "0")), parseInteger(args.get(3)));
            hash.put(args.get(2), Long.toString(value));
            keys.changed(args.get(1));
            return integer(value);
        });
    }

    private static Keyspace.MemberSet members(Keyspace keys, String key, long nowMillis) {
        Keyspace.MemberSet members = keys.get(Keyspace.MemberSet.class, key, nowMillis);
        return members == null ? new Keyspace.MemberSet() : members;
    }

    private void addSetCommands() {
        addWrite("sadd", -3, (session, keys, args, nowMillis) -> {
            Keyspace.MemberSet members =
                    keys.getOrCreate(Keyspace.MemberSet.class, args.get(1), nowMillis, new Keyspace.MemberSet());
            long added = args.stream()
                    .skip(2)
                    .filter(each -> members.members.put(each, true) == null)
                    .count();
            keys.changed(args.get(1));
            return integer(added);
        });
        addWrite("srem", -3, (session, keys, args, nowMillis) -> {
            Keyspace.MemberSet members = members(keys, args.get(1), nowMillis);
            long removedCount = args.stream()
                    .skip(2)
                    .filter(each -> members.members.remove(each) != null)
                    .count();
            keys.changed(args.get(1));
            return integer(removedCount);
        });
        add(
                "scard",
                2,
                (session, keys, args, nowMillis) ->
                        integer(members(keys, args.get(1), nowMillis).members.size()));
        add(
                "sismember",
                3,
                (session, keys, args, nowMillis) ->
                        bool(members(keys, args.get(1), nowMillis).members.containsKey(args.get(2))));
        add(
                "smembers",
                2,
                (session, keys, args, nowMillis) -> new Reply.Aggregate(
                        '~',
                        members(keys, args.get(1), nowMillis).members.keySet().stream()
                                .map(Reply::bulk)
                                .toList()));
        add("srandmember", -2, (session, keys, args, nowMillis) -> {
            List<String> all = new ArrayList<>(
                    members(keys, args.get(1), nowMillis).members.keySet());
            if (args.size() == 2) {
                return all.isEmpty() ? Reply.NULL : new Reply.BulkString(all.get(random.nextInt(all.size())));
            }
            long wanted = parseInteger(args.get(2));
            List<String> drawn = new ArrayList<>();
            for (long i = 0; i < Math.min(Math.abs(wanted), 10_000) && !all.isEmpty(); i++) {
                int at = random.nextInt(all.size());
                drawn.add(wanted < 0 ? all.get(at) : all.remove(at));
            }
            return Reply.bulkArray(drawn);
        });
    }

    private static Keyspace.SortedSet scores(Keyspace keys, String key, long nowMillis) {
        Keyspace.SortedSet scores = keys.get(Keyspace.SortedSet.class, key, nowMillis);
        return scores == null ? new Keyspace.SortedSet() : scores;
    }

    private void addSortedSetCommands() {
        addWrite("zadd", -4, (session, keys, args, nowMillis) -> {
            if (args.size() % 2 != 0) {
                throw new ErrorReplyException("ERR syntax error");
            }
            Map<String, Double> parsed = new LinkedHashMap<>();
            for (int i = 2; i < args.size(); i += 2) {
                parsed.put(args.get(i + 1), parseScore(args.get(i)));
            }
            Keyspace.SortedSet scores =
                    keys.getOrCreate(Keyspace.SortedSet.class, args.get(1), nowMillis, new Keyspace.SortedSet());
            int before = scores.scoreByMember.size();
            scores.scoreByMember.putAll(parsed);
            keys.changed(args.get(1));
            return integer(scores.scoreByMember.size() - before);
        });
        add("zscore", 3, (session, keys, args, nowMillis) -> {
            Double score = scores(keys, args.get(1), nowMillis).scoreByMember.get(args.get(2));
            return score == null ? Reply.NULL : new Reply.DoubleReply(score);
        });
        add(
                "zcard",
                2,
                (session, keys, args, nowMillis) -> integer(
                        scores(keys, args.get(1), nowMillis).scoreByMember.size()));
        addWrite("zrem", -3, (session, keys, args, nowMillis) -> {
            Keyspace.SortedSet scores = scores(keys, args.get(1), nowMillis);
            long removedCount = args.stream()
                    .skip(2)
                    .filter(each -> scores.scoreByMember.remove(each) != null)
                    .count();
            keys.changed(args.get(1));
            return integer(removedCount);
        });
        add("zrange", -4, (session, keys, args, nowMillis) -> {
            if (args.size() > 4 && args.get(4).equalsIgnoreCase("byscore")) {
                return rangeByScore(keys, args, nowMillis);
            }
            List<Map.Entry<String, Double>> all =
                    scores(keys, args.get(1), nowMillis).sorted();
            int first = rangeIndex(parseInteger(args.get(2)), all.size());
            int last = rangeIndex(parseInteger(args.get(3)), all.size());
            return rangeReply(
                    all.subList(
                            Math.min(first, all.size()),
                            Math.max(Math.min(first, all.size()), Math.min(last + 1, all.size()))),
                    args,
                    session);
        });
        add("zrangebyscore", -4, (session, keys, args, nowMillis) -> rangeByScore(keys, args, nowMillis));
        addWrite("zremrangebyscore", 4, (session, keys, args, nowMillis) -> {
            Keyspace.SortedSet scores = scores(keys, args.get(1), nowMillis);
            List<String> removed = membersByScore(scores, args);
            removed.forEach(scores.scoreByMember::remove);
            keys.changed(args.get(1));
            return integer(removed.size());
        });
    }

    private static int rangeIndex(long given, int size) {
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE - 1, given < 0 ? given + size : given));
    }

    private static Reply rangeReply(List<Map.Entry<String, Double>> members, List<String> args, Session session) {
        boolean withScores = args.get(args.size() - 1).equalsIgnoreCase("withscores");
        List<Reply> items = new ArrayList<>();
        for (Map.Entry<String, Double> each : members) {
            Reply name = new Reply.BulkString(each.getKey());
            Reply score = new Reply.DoubleReply(each.getValue());
            if (withScores && session.resp3) {
                items.add(new Reply.Aggregate('*', List.of(name, score)));
            } else {
                items.add(name);
                if (withScores) {
                    items.add(score);
                }
            }
        }
        return new Reply.Aggregate('*', items);
    }

    private static List<String> membersByScore(Keyspace.SortedSet scores, List<String> args) {
        double min = parseScore(args.get(2));
        double max = parseScore(args.get(3));
        boolean minExclusive = args.get(2).startsWith("(");
        boolean maxExclusive = args.get(3).startsWith("(");
        return scores.sorted().stream()
                .filter(each -> (minExclusive ? each.getValue() > min : each.getValue() >= min)
                        && (maxExclusive ? each.getValue() < max : each.getValue() <= max))
                .map(Map.Entry::getKey)
                .toList();
    }

    private static Reply rangeByScore(Keyspace keys, List<String> args, long nowMillis) {
        return Reply.bulkArray(membersByScore(scores(keys, args.get(1), nowMillis), args));
    }

    private void addPubSubCommands() {
        add("publish", 3, (session, keys, args, nowMillis) -> {
            Set<Session> to = Set.copyOf(subscribers.getOrDefault(args.get(1), Set.of()));
            to.forEach(each -> each.pushes.accept(new Reply.Aggregate(
                    '>',
                    List.of(
                            new Reply.BulkString("message"),
                            new Reply.BulkString(args.get(1)),
                            new Reply.BulkString(args.get(2))))));
            return integer(to.size());
        });
        add("subscribe", -2, (session, keys, args, nowMillis) -> {
            for (String channel : args.subList(1, args.size())) {
                if (session.subscribedChannels.size() >= MAX_SUBSCRIBED_CHANNELS) {
                    throw new ErrorReplyException("ERR too many channels");
                }
                session.subscribedChannels.add(channel);
                subscribers.computeIfAbsent(channel, each -> new HashSet<>()).add(session);
                session.pushes.accept(subscriptionMessage("subscribe", channel, session));
            }
            return null;
        });
        add("unsubscribe", -1, (session, keys, args, nowMillis) -> {
            Set<String> removedChannels = args.size() > 1
                    ? new TreeSet<>(args.subList(1, args.size()))
                    : new TreeSet<>(session.subscribedChannels);
            for (String channel : removedChannels) {
                unsubscribe(session, channel);
                session.pushes.accept(subscriptionMessage("unsubscribe", channel, session));
            }
            if (removedChannels.isEmpty()) {
                session.pushes.accept(subscriptionMessage("unsubscribe", null, session));
            }
            return null;
        });
    }

    private static Reply subscriptionMessage(String event, String channel, Session session) {
        return new Reply.Aggregate(
                '>',
                List.of(new Reply.BulkString(event), Reply.bulk(channel), integer(session.subscribedChannels.size())));
    }

    private void unsubscribe(Session session, String channel) {
        session.subscribedChannels.remove(channel);
        Set<Session> channelSubscribers = subscribers.get(channel);
        if (channelSubscribers != null) {
            channelSubscribers.remove(session);
            if (channelSubscribers.isEmpty()) {
                subscribers.remove(channel);
            }
        }
    }
}
