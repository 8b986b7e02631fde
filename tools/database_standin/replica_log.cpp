#include "database_standin/replica_log.h"

#include "base/log.h"

#include <algorithm>

namespace pistachiowood::standin {

namespace json = boost::json;

namespace {

std::string termText(Term term)
{
    return std::to_string(term.value());
}

} // namespace

ReplicaLog::ReplicaLog(EndpointId id, std::size_t groupSize, const Clock &clock)
    : id_(std::move(id))
    , groupSize_(groupSize)
    , clock_(clock)
    , contactSince_(clock.now())
{
}

EndpointReport ReplicaLog::report() const
{
    return {term_, position(), termAt(position()), role_, age()};
}

Milliseconds ReplicaLog::primaryContact() const
{
    if (isPrimary())
        return Milliseconds(0);
    return std::chrono::ceil<Milliseconds>(clock_.now() - contactSince_);
}

Term ReplicaLog::termAt(LogPosition position) const
{
    return position.value() == 0 ? Term() : log_.at(position.value() - 1).term;
}

LogPosition ReplicaLog::lastPositionUpToTerm(Term term, LogPosition limit) const
{
    const auto end =
        log_.begin() + static_cast<std::ptrdiff_t>(std::min(limit, position()).value());
    const auto above =
        std::upper_bound(log_.begin(), end, term,
                         [](Term bound, const LogEntry &entry) { return bound < entry.term; });
    return LogPosition(static_cast<std::uint64_t>(above - log_.begin()));
}

// Time of the newest echo that, together with newer ones, makes a majority with the primary.
std::optional<TimePoint> ReplicaLog::majorityContact() const
{
    const std::size_t followersNeeded = groupSize_ / 2;
    if (followersNeeded == 0)
        return clock_.now();
    if (followerContacts_.size() < followersNeeded)
        return std::nullopt;
    std::vector<TimePoint> contacts;
    contacts.reserve(followerContacts_.size());
    for (const auto &[follower, contact] : followerContacts_)
        contacts.push_back(contact);
    std::sort(contacts.rbegin(), contacts.rend());
    return contacts[followersNeeded - 1];
}

// A new primary keeps the age that it had as a replica until it has had contact with a majority in
// its term: another term may have been granted by the others before the promotion arrived.
Milliseconds ReplicaLog::age() const
{
    auto synced = syncedAt_;
    if (isPrimary()) {
        if (const auto contact = majorityContact())
            synced = synced ? std::max(*synced, *contact) : *contact;
    }
    if (!synced)
        return unknownAge;
    return std::min(unknownAge, std::chrono::ceil<Milliseconds>(clock_.now() - *synced));
}

std::optional<Refusal> ReplicaLog::checkTerm(Term term) const
{
    if (term < term_)
        return Refusal{RefusalCode::StaleTerm,
                       "term " + termText(term) + " is older than term " + termText(term_)};
    if (term > term_)
        return Refusal{RefusalCode::NewerTermRequired, "term " + termText(term)
                                                           + " was not granted; the term is "
                                                           + termText(term_)};
    return std::nullopt;
}

std::optional<Refusal> ReplicaLog::checkPrimary(Term term) const
{
    if (auto refusal = checkTerm(term))
        return refusal;
    if (!isPrimary())
        return Refusal{RefusalCode::NotPrimary,
                       "the endpoint is not the primary of term " + termText(term)};
    return std::nullopt;
}

std::optional<Answer<StatementResult>> ReplicaLog::findRequest(const RequestId &requestId) const
{
    if (requestId.value().empty())
        return std::nullopt;
    const auto found = requests_.find(requestId.value());
    if (found == requests_.end())
        return std::nullopt;
    const LogEntry &entry = log_.at(found->second.value() - 1);
    if (entry.refused)
        return Refusal{RefusalCode::RefusedRequest,
                       "request \"" + requestId.value() + "\" was recorded as refused"};
    return StatementResult{entry.result, found->second, true};
}

json::value ReplicaLog::read(const Operation &operation, const Values *overlay) const
{
    if (operation.kind == OperationKind::Get) {
        if (overlay) {
            if (const auto found = overlay->find(operation.key); found != overlay->end())
                return found->second;
        }
        const auto found = data_.find(operation.key);
        return found == data_.end() ? json::value(nullptr) : found->second;
    }
    std::map<std::string_view, const json::value *> selected;
    const auto select = [&](const Values &values) {
        for (auto at = values.lower_bound(operation.key);
             at != values.end() && at->first.starts_with(operation.key); ++at)
            selected[at->first] = &at->second;
    };
    select(data_);
    if (overlay)
        select(*overlay);
    if (operation.kind == OperationKind::Count)
        return static_cast<std::uint64_t>(selected.size());
    json::array items;
    items.reserve(selected.size());
    for (const auto &[key, value] : selected)
        items.push_back(
            json::object{{"key", json::string_view(key.data(), key.size())}, {"value", *value}});
    return items;
}

std::optional<Refusal> ReplicaLog::checkWrite(const Operation &operation,
                                              const Values *overlay) const
{
    if (operation.kind != OperationKind::Append)
        return std::nullopt;
    const Values &values = overlay && overlay->contains(operation.key) ? *overlay : data_;
    const auto found = values.find(operation.key);
    if (found == values.end() || found->second.is_array())
        return std::nullopt;
    return Refusal{RefusalCode::InvalidArgument,
                   "the value of key \"" + operation.key + "\" is not a list"};
}

// Returns null for a put and the new length for an append.
json::value ReplicaLog::writeOverlay(const Operation &operation, Values &overlay) const
{
    if (operation.kind == OperationKind::Put) {
        overlay[operation.key] = operation.value;
        return nullptr;
    }
    auto found = overlay.find(operation.key);
    if (found == overlay.end()) {
        const auto stored = data_.find(operation.key);
        found = overlay
                    .emplace(operation.key,
                             stored == data_.end() ? json::value(json::array()) : stored->second)
                    .first;
    }
    auto &list = found->second.as_array();
    list.push_back(operation.value);
    return static_cast<std::uint64_t>(list.size());
}

json::value ReplicaLog::writeData(const Operation &operation)
{
    if (operation.kind == OperationKind::Put) {
        data_[operation.key] = operation.value;
        return nullptr;
    }
    auto &list = data_.try_emplace(operation.key, json::array()).first->second.as_array();
    list.push_back(operation.value);
    return static_cast<std::uint64_t>(list.size());
}

void ReplicaLog::indexEntry(const LogEntry &entry, LogPosition position)
{
    if (!entry.requestId.value().empty())
        requests_.emplace(entry.requestId.value(), position);
}

LogPosition ReplicaLog::append(LogEntry entry)
{
    log_.push_back(std::move(entry));
    indexEntry(log_.back(), position());
    return position();
}

Answer<StatementResult> ReplicaLog::execute(std::uint64_t connection, const StatementInput &input)
{
    const bool write = isWrite(input.operation.kind);
    if (auto refusal =
            write || input.inTransaction ? checkPrimary(input.term) : checkTerm(input.term))
        return *refusal;
    const auto open = transactions_.find(connection);
    Transaction *transaction = open == transactions_.end() ? nullptr : &open->second;
    if (input.inTransaction) {
        if (!transaction)
            return Refusal{RefusalCode::TransactionLost, "the connection has no transaction"};
        if (!input.requestId.value().empty())
            return Refusal{RefusalCode::InvalidArgument,
                           "in a transaction the request id belongs to the commit"};
        if (!write)
            return StatementResult{read(input.operation, &transaction->overlay), position()};
        if (auto refusal = checkWrite(input.operation, &transaction->overlay))
            return *refusal;
        transaction->writes.push_back(input.operation);
        return StatementResult{writeOverlay(input.operation, transaction->overlay), position()};
    }
    if (transaction)
        return Refusal{RefusalCode::InvalidArgument,
                       "the connection has an open transaction; \"transaction\" must be true"};
    if (!write)
        return StatementResult{read(input.operation, nullptr), position()};
    if (auto known = findRequest(input.requestId))
        return *known;
    if (auto refusal = checkWrite(input.operation, nullptr))
        return *refusal;
    const json::value result = writeData(input.operation);
    const auto written = append({term_, input.requestId, false, {input.operation}, result});
    return StatementResult{result, written};
}

std::optional<Refusal> ReplicaLog::begin(std::uint64_t connection, Term term)
{
    if (auto refusal = checkPrimary(term))
        return refusal;
    if (!transactions_.try_emplace(connection).second)
        return Refusal{RefusalCode::Conflict, "the connection already has a transaction"};
    return std::nullopt;
}

Answer<StatementResult> ReplicaLog::commit(std::uint64_t connection, Term term,
                                           const RequestId &requestId)
{
    if (auto refusal = checkPrimary(term))
        return *refusal;
    auto transaction = transactions_.extract(connection);
    if (auto known = findRequest(requestId))
        return *known;
    if (transaction.empty())
        return Refusal{RefusalCode::TransactionLost, "the connection has no transaction"};
    auto &writes = transaction.mapped().writes;
    // Other writers may have changed the data since the statements were answered.
    Values overlay;
    json::array results;
    for (const Operation &operation : writes) {
        if (auto refusal = checkWrite(operation, &overlay))
            return *refusal;
        results.push_back(writeOverlay(operation, overlay));
    }
    for (auto &[key, value] : overlay)
        data_[key] = std::move(value);
    const auto written = append({term_, requestId, false, std::move(writes), results});
    return StatementResult{std::move(results), written};
}

void ReplicaLog::rollback(std::uint64_t connection)
{
    transactions_.erase(connection);
}

Answer<ResolveResult> ReplicaLog::resolve(Term term, const RequestId &requestId)
{
    if (auto refusal = checkPrimary(term))
        return *refusal;
    if (requestId.value().empty())
        return Refusal{RefusalCode::InvalidArgument, "field \"request_id\" must not be empty"};
    if (const auto found = requests_.find(requestId.value()); found != requests_.end()) {
        const LogEntry &entry = log_.at(found->second.value() - 1);
        return ResolveResult{!entry.refused, entry.result, found->second};
    }
    return ResolveResult{false, nullptr, append({term_, requestId, true, {}, nullptr})};
}

void ReplicaLog::enterTerm(Term term, const std::string &promoter)
{
    // What was known about the primary's contact until now stays a valid bound on the age.
    if (const auto contact = isPrimary() ? majorityContact() : std::nullopt)
        syncedAt_ = syncedAt_ ? std::max(*syncedAt_, *contact) : *contact;
    if (isPrimary())
        contactSince_ = clock_.now();
    term_ = term;
    promoter_ = promoter;
    role_ = EndpointRole::Replica;
    primary_ = EndpointId();
    matched_ = false;
    echo_.reset();
    followerContacts_.clear();
    transactions_.clear();
}

bool ReplicaLog::raiseTerm(Term term, const std::string &promoter)
{
    if (term == term_)
        return !promoter_.empty() && promoter_ == promoter;
    if (term < term_)
        return false;
    enterTerm(term, promoter);
    return true;
}

std::optional<Refusal> ReplicaLog::promote(Term term, const std::string &promoter)
{
    if (auto refusal = checkTerm(term))
        return refusal;
    if (promoter_.empty() || promoter_ != promoter)
        return Refusal{RefusalCode::Conflict,
                       "term " + termText(term) + " was not granted to \"" + promoter + "\""};
    if (isPrimary())
        return std::nullopt;
    if (!primary_.value().empty())
        return Refusal{RefusalCode::Conflict, "the endpoint already follows \"" + primary_.value()
                                                  + "\" in term " + termText(term)};
    // Terms that began above this log left no entry in it.
    std::erase_if(history_, [&](const TermStart &entry) { return entry.start > position(); });
    history_.push_back({term, position()});
    if (history_.size() > maxTermHistory)
        history_.erase(history_.begin());
    role_ = EndpointRole::Primary;
    matched_ = true;
    promotedAt_ = clock_.now();
    // Entries of older terms count as held by a majority only below an entry of this term.
    append({term_, {}, false, {}, nullptr});
    return std::nullopt;
}

std::optional<Refusal> ReplicaLog::follow(Term term, const EndpointId &primary)
{
    if (term < term_)
        return checkTerm(term);
    if (primary == id_)
        return Refusal{RefusalCode::InvalidArgument, "an endpoint cannot follow itself"};
    if (term == term_ && isPrimary())
        return Refusal{RefusalCode::Conflict,
                       "the endpoint is the primary of term " + termText(term)};
    if (term > term_)
        enterTerm(term, {});
    if (primary_ != primary) {
        primary_ = primary;
        matched_ = false;
        echo_.reset();
        contactSince_ = clock_.now();
    }
    return std::nullopt;
}

Answer<LogBatch> ReplicaLog::readLog(const LogQuery &query)
{
    if (auto refusal = checkPrimary(query.term))
        return *refusal;
    const TimePoint now = clock_.now();
    if (query.echo && *query.echo >= std::chrono::floor<Milliseconds>(promotedAt_)
        && *query.echo <= now) {
        auto &contact = followerContacts_[query.follower];
        contact = std::max(contact, *query.echo);
    }
    LogBatch batch;
    batch.term = term_;
    batch.primary = id_;
    batch.from = query.from;
    batch.primaryAge = age();
    batch.primaryTime = now;
    batch.history = history_;
    if (query.from > position() || termAt(query.from) != query.lastEntryTerm) {
        // The follower's entries above truncateTo have no counterpart or a newer one here, so no
        // common entry is truncated. Each round removes at least one term of the follower's tail.
        batch.truncateTo = lastPositionUpToTerm(query.lastEntryTerm, query.from);
        batch.truncateTerm = termAt(*batch.truncateTo);
        return batch;
    }
    const std::uint64_t first = query.from.value();
    const std::uint64_t last = std::min<std::uint64_t>(log_.size(), first + query.maxEntries);
    batch.entries.assign(log_.begin() + static_cast<std::ptrdiff_t>(first),
                         log_.begin() + static_cast<std::ptrdiff_t>(last));
    batch.caughtUp = last == log_.size();
    return batch;
}

std::optional<LogQuery> ReplicaLog::nextQuery() const
{
    if (isPrimary() || primary_.value().empty())
        return std::nullopt;
    LogQuery query;
    query.term = term_;
    query.from = position();
    query.lastEntryTerm = termAt(position());
    query.follower = id_.value();
    query.echo = echo_;
    return query;
}

bool ReplicaLog::isFollowing(const LogBatch &batch) const
{
    return !isPrimary() && batch.term == term_ && !primary_.value().empty()
           && batch.primary == primary_;
}

bool ReplicaLog::recordPrimaryContact(const LogBatch &batch)
{
    if (!isFollowing(batch))
        return false;
    contactSince_ = clock_.now();
    echo_ = batch.primaryTime;
    return true;
}

bool ReplicaLog::applyBatch(const LogBatch &batch, TimePoint fetchSentAt)
{
    if (!isFollowing(batch) || batch.from != position())
        return false;
    if (batch.truncateTo) {
        // A matched log is a prefix of the primary's log in this term, which only grows.
        const LogPosition end = lastPositionUpToTerm(batch.truncateTerm, *batch.truncateTo);
        if (matched_ || end == position())
            return false;
        truncate(end);
        return true;
    }
    for (const LogEntry &entry : batch.entries) {
        for (const Operation &operation : entry.operations)
            writeData(operation);
        append(entry);
    }
    matched_ = true;
    history_ = batch.history;
    if (batch.caughtUp) {
        const TimePoint synced = fetchSentAt - batch.primaryAge;
        syncedAt_ = syncedAt_ ? std::max(*syncedAt_, synced) : synced;
    }
    return true;
}

void ReplicaLog::truncate(LogPosition end)
{
    checkInvariant(!isPrimary(), Event::InvariantBroken,
                   {{"reason", "truncation on a primary"}, {"endpoint", id_.value()}});
    log_.resize(end.value());
    data_.clear();
    requests_.clear();
    for (std::size_t index = 0; index < log_.size(); ++index) {
        for (const Operation &operation : log_[index].operations)
            writeData(operation);
        indexEntry(log_[index], LogPosition(index + 1));
    }
}

} // namespace pistachiowood::standin
