#include "LibRegistry/ConfigurationRegister.h"

namespace Registry {

Base::Result<bool> ConfigurationRegister::apply(const Wire::RaftEntry &entry)
{
    if (entry.kind != Wire::RaftEntryKind::Command)
        return false;
    auto command = Wire::decode<StoreConfiguration>(entry.payload);
    if (!command)
        return Base::fail(Base::ErrorKind::CorruptData,
                          "configuration command in the replicated log cannot be decoded");
    if (command->version <= content_.version)
        return false;
    content_ = std::move(*command);
    return true;
}

Base::Bytes ConfigurationRegister::snapshot() const
{
    return Wire::encode(content_);
}

Base::Result<void> ConfigurationRegister::restore(Base::ByteView snapshot)
{
    auto content = Wire::decode<StoreConfiguration>(snapshot);
    if (!content)
        return Base::fail(Base::ErrorKind::CorruptData, "configuration snapshot cannot be decoded");
    content_ = std::move(*content);
    return {};
}

} // namespace Registry
