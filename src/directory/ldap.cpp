#include "directory/ldap.hpp"

// libldap runs on a socket that is connected here (openldap.h), so that neither connecting nor waiting for a
// response blocks.
#include <ldap.h>
#include <openldap.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>

namespace bellstair::directory {
namespace {
using namespace std::chrono_literals;

constexpr std::size_t kMaxActiveLookups = 32;  // each has its own connection
constexpr std::size_t kMaxCacheEntries = 4096;

struct MessageDeleter {
  void operator()(LDAPMessage* message) const { ldap_msgfree(message); }
};
using Message = std::unique_ptr<LDAPMessage, MessageDeleter>;

}  // namespace

std::string escape_filter(std::string_view value) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string out;
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '*' || c == '(' || c == ')' || c == '\\' || byte < 0x20 || byte >= 0x7f) {
      out += {'\\', kDigits[byte >> 4], kDigits[byte & 15]};
    } else {
      out += c;
    }
  }
  return out;
}

// One lookup over its own connection: binds as the service account, searches the entry, binds as the user.
class Ldap::UserLookup {
 public:
  enum class Stage { connecting, service_bind, search, user_bind };

  UserLookup(Ldap& owner, std::string user, std::string password, Done done)
      : owner_(owner),
        user_(std::move(user)),
        password_(std::move(password)),
        done_(std::move(done)),
        deadline_(owner.now_ + owner.config_.timeout),
        io_(owner.loop_) {
    io_.set<UserLookup, &UserLookup::on_io>(this);
  }
  ~UserLookup() { stop(); }
  UserLookup(const UserLookup&) = delete;
  UserLookup& operator=(const UserLookup&) = delete;

  // Begins to connect. Returns false if that is not possible.
  bool start() {
    const auto address = net::parse_address(owner_.config_.address);
    fd_ = address ? net::begin_connect(*address) : net::Fd();
    if (!fd_) return false;
    io_.start(fd_.get(), ev::WRITE);
    return true;
  }

  void stop() {
    io_.stop();
    if (ldap_ != nullptr) ldap_unbind_ext(std::exchange(ldap_, nullptr), nullptr, nullptr);
    fd_.reset();
  }

  [[nodiscard]] core::Time deadline() const { return deadline_; }
  [[nodiscard]] const std::string& user() const { return user_; }
  [[nodiscard]] const std::string& password() const { return password_; }
  Done take_done() { return std::exchange(done_, {}); }

 private:
  void finish(LookupResult::Status status, std::uint32_t tenant = 0) {
    owner_.complete(*this, {status, tenant});
  }
  void finish_unavailable() { finish(LookupResult::Status::unavailable); }

  void on_io(ev::io&, int) {
    if (stage_ == Stage::connecting) return on_connected();
    LDAPMessage* raw = nullptr;
    timeval no_wait{0, 0};
    const int type = ldap_result(ldap_, message_id_, LDAP_MSG_ALL, &no_wait, &raw);
    const Message message(raw);
    if (type == 0) return;  // the response is incomplete
    int code = LDAP_OTHER;
    if (type < 0 ||
        ldap_parse_result(ldap_, raw, &code, nullptr, nullptr, nullptr, nullptr, 0) != LDAP_SUCCESS)
      return finish_unavailable();
    switch (stage_) {
      case Stage::connecting:
        return;
      case Stage::service_bind:
        return code == LDAP_SUCCESS ? search() : finish_unavailable();
      case Stage::search:
        return code == LDAP_SUCCESS ? on_search_result(raw) : finish_unavailable();
      case Stage::user_bind:
        if (code == LDAP_SUCCESS) return finish(LookupResult::Status::granted, tenant_);
        return code == LDAP_INVALID_CREDENTIALS ? finish(LookupResult::Status::denied) : finish_unavailable();
    }
  }

  void on_connected() {
    if (net::connect_error(fd_.get()) != 0) return finish_unavailable();
    io_.set(ev::READ);
    const auto url = "ldap://" + owner_.config_.address;
    // libldap gets a duplicate of the descriptor, which it owns and closes; fd_ stays ours.
    const int duplicate_fd = ::dup(fd_.get());
    if (duplicate_fd < 0 || ldap_init_fd(duplicate_fd, LDAP_PROTO_TCP, url.c_str(), &ldap_) != LDAP_SUCCESS)
      return finish_unavailable();
    const int version = LDAP_VERSION3;
    ldap_set_option(ldap_, LDAP_OPT_PROTOCOL_VERSION, &version);
    ldap_set_option(ldap_, LDAP_OPT_REFERRALS, LDAP_OPT_OFF);
    if (owner_.config_.bind_dn.empty()) return search();
    bind(owner_.config_.bind_dn, owner_.config_.bind_password, Stage::service_bind);
  }

  void bind(const std::string& dn, std::string password, Stage stage) {
    berval secret{password.size(), password.data()};
    stage_ = stage;
    if (ldap_sasl_bind(ldap_, dn.c_str(), LDAP_SASL_SIMPLE, &secret, nullptr, nullptr, &message_id_) !=
        LDAP_SUCCESS)
      finish_unavailable();
  }

  void search() {
    const auto& config = owner_.config_;
    const auto filter = "(" + config.user_attribute + "=" + escape_filter(user_) + ")";
    auto attribute = config.tenant_attribute;
    char* attributes[] = {attribute.data(), nullptr};
    stage_ = Stage::search;
    if (ldap_search_ext(ldap_, config.base.c_str(), LDAP_SCOPE_SUBTREE, filter.c_str(), attributes, 0,
                        nullptr, nullptr, nullptr, 2, &message_id_) != LDAP_SUCCESS)
      finish_unavailable();
  }

  // Anything but exactly one entry means that the user is unknown.
  void on_search_result(LDAPMessage* message) {
    if (ldap_count_entries(ldap_, message) != 1) return finish(LookupResult::Status::denied);
    LDAPMessage* entry = ldap_first_entry(ldap_, message);
    const std::unique_ptr<char, void (*)(void*)> dn(ldap_get_dn(ldap_, entry), ldap_memfree);
    const std::unique_ptr<berval*, void (*)(berval**)> values(
        ldap_get_values_len(ldap_, entry, owner_.config_.tenant_attribute.c_str()), ldap_value_free_len);
    if (!dn || !values || values.get()[0] == nullptr) return finish(LookupResult::Status::denied);
    const auto* first = values.get()[0];
    const auto tenant = owner_.names_.tenants.find(std::string_view(first->bv_val, first->bv_len));
    if (tenant == owner_.names_.tenants.end()) return finish(LookupResult::Status::denied);
    tenant_ = tenant->second;
    bind(dn.get(), password_, Stage::user_bind);
  }

  Ldap& owner_;
  std::string user_, password_;
  Done done_;
  core::Time deadline_;
  ev::io io_;
  net::Fd fd_;
  LDAP* ldap_ = nullptr;
  Stage stage_ = Stage::connecting;
  int message_id_ = 0;
  std::uint32_t tenant_ = 0;
};

Ldap::Ldap(ev::loop_ref loop, const config::Directory& config, const config::NameIndex& names)
    : loop_(loop), config_(config), names_(names), salt_(32, '\0') {
  RAND_bytes(reinterpret_cast<unsigned char*>(salt_.data()), static_cast<int>(salt_.size()));
  // The first use of libldap reads its configuration files, which blocks: done here, before requests are
  // served.
  ldap_set_option(nullptr, LDAP_OPT_REFERRALS, LDAP_OPT_OFF);
}

Ldap::~Ldap() = default;

std::string Ldap::cache_key(const std::string& user, const std::string& password) const {
  const auto text = salt_ + std::to_string(user.size()) + ":" + user + password;
  std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
  unsigned size = 0;
  EVP_Digest(text.data(), text.size(), out.data(), &size, EVP_sha256(), nullptr);
  return {reinterpret_cast<const char*>(out.data()), size};
}

void Ldap::look_up(const std::string& user, const std::string& password, Done done) {
  // A bind with a name but without a password is unauthenticated and always succeeds (RFC 4513, 5.1.2).
  if (user.empty() || password.empty()) return done({LookupResult::Status::denied, 0});
  if (const auto cached = cache_.find(cache_key(user, password));
      cached != cache_.end() && now_ < cached->second.expires)
    return done(cached->second.result);
  if (active_.size() >= kMaxActiveLookups) return done({LookupResult::Status::unavailable, 0});
  active_.push_back(std::make_unique<UserLookup>(*this, user, password, std::move(done)));
  auto& lookup = *active_.back();
  if (!lookup.start()) complete(lookup, {LookupResult::Status::unavailable, 0});
}

void Ldap::complete(UserLookup& lookup, LookupResult result) {
  const auto entry = std::ranges::find(active_, &lookup, &std::unique_ptr<UserLookup>::get);
  if (entry == active_.end()) return;
  lookup.stop();
  finished_.push_back(std::move(*entry));
  active_.erase(entry);
  if (result.status == LookupResult::Status::granted) {
    if (cache_.size() >= kMaxCacheEntries) cache_.clear();
    cache_[cache_key(lookup.user(), lookup.password())] = {result, now_ + config_.cache_time};
  }
  lookup.take_done()(result);
}

void Ldap::tick(core::Time now) {
  now_ = now;
  finished_.clear();
  // All lookups have the same timeout, so they are in the order of their deadlines.
  while (!active_.empty() && active_.front()->deadline() <= now)
    complete(*active_.front(), {LookupResult::Status::unavailable, 0});
}

}  // namespace bellstair::directory
